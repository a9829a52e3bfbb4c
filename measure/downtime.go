package main

import (
	"context"
	"fmt"
	"sort"
	"time"

	"redwinghall"
	"redwinghall/operator"
	"redwinghall/standin/engine"
	"redwinghall/standin/layout"
)

// downtimeRepeats is how often each loss is brought about.
const downtimeRepeats = 3

// measureDowntime brings losses about in a zone of three groups of four VMs
// with two spares in their domain, and takes how long a group is not whole.
// The times hold with the default settings and 0.3 s to load a model.
func measureDowntime(o options) ([]Series, error) {
	d, err := startServing(o.Bin, shape{zones: 1, nodesPerZone: 2, groupsPerZone: 3,
		engine: engine.Config{LoadTime: redwinghall.Duration(300 * time.Millisecond)}},
		func(l *layout.Layout) { l.Domains = [][]int{{14}} })
	if err != nil {
		return nil, err
	}
	defer d.stop()
	var restarted, killed, frozen []Point
	for i := range downtimeRepeats {
		for _, loss := range []struct {
			action engine.Action
			points *[]Point
		}{{engine.ActionRestart, &restarted}, {engine.ActionKill, &killed}, {engine.ActionFreeze, &frozen}} {
			took, err := d.lose(loss.action)
			if err != nil {
				return nil, err
			}
			*loss.points = append(*loss.points, Point{float64(i), took.Seconds()})
		}
	}
	return []Series{
		newSeries("process restarted", "repeat", "seconds until whole again", restarted),
		newSeries("process killed, spare at hand", "repeat", "seconds until whole again", killed),
		newSeries("VM frozen, spare at hand", "repeat", "seconds until whole again", frozen),
	}, nil
}

// lose does something to a member of the first group and returns how long it
// takes until all groups are whole without that member's old self.
func (d *deployment) lose(action engine.Action) (time.Duration, error) {
	before, err := d.groupsNow()
	if err != nil {
		return 0, err
	}
	victim := before[0].Members[1].VM
	started := time.Now()
	if err := d.act(victim, action); err != nil {
		return 0, err
	}
	err = d.wait("the groups are whole again after "+string(action), func() bool {
		groups, err := d.groupsNow()
		return err == nil && len(groups) == d.layout.Replicas && mended(groups, before[0], victim, action)
	})
	took := time.Since(started)
	if err != nil {
		return 0, err
	}
	return took, d.revive(victim, action)
}

// mended reports whether every group is whole, and the one that was hit has
// been ordered anew.
func mended(groups []operator.GroupStatus, hit operator.GroupStatus, victim string, action engine.Action) bool {
	for _, g := range groups {
		if !g.Healthy || (g.ID == hit.ID && g.Generation == hit.Generation) {
			return false
		}
		for _, m := range g.Members {
			if m.VM == victim && action != engine.ActionRestart {
				return false
			}
		}
	}
	return true
}

// revive brings a lost VM back, so that it is a spare for the next loss.
func (d *deployment) revive(vm string, action engine.Action) error {
	switch action {
	case engine.ActionKill:
		return d.act(vm, engine.ActionRestart)
	case engine.ActionFreeze:
		return d.act(vm, engine.ActionThaw)
	default:
		return nil
	}
}

func (d *deployment) act(vm string, action engine.Action) error {
	response, err := d.client.Post("http://"+d.layout.EngineControl()+engine.PathVM+vm+"/"+string(action), "", nil)
	if err != nil {
		return err
	}
	if response.StatusCode >= 300 {
		err = fmt.Errorf("%s %s: status %d", action, vm, response.StatusCode)
	}
	_ = response.Body.Close()
	return err
}

func (d *deployment) groupsNow() ([]operator.GroupStatus, error) {
	status, err := d.operator(0).Status(context.Background())
	if err != nil {
		return nil, err
	}
	sort.Slice(status.Groups, func(i, j int) bool { return status.Groups[i].ID < status.Groups[j].ID })
	return status.Groups, nil
}
