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

// downtimeRepeats is the number of measurements of each kind of failure.
const downtimeRepeats = 3

// measureDowntime injects failures into a zone of three groups of four VMs with
// two spare VMs in their domain, and measures how long a group is not healthy.
// The times apply to the default settings and 0.3 s to load a model.
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
			took, err := d.measureLoss(loss.action)
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

// measureLoss applies an action to a member of the first group and returns the
// time until all groups are healthy again, with the member replaced or restarted.
func (d *deployment) measureLoss(action engine.Action) (time.Duration, error) {
	before, err := d.sortedGroups()
	if err != nil {
		return 0, err
	}
	victim := before[0].Members[1].VM
	started := time.Now()
	if err := d.applyAction(victim, action); err != nil {
		return 0, err
	}
	err = d.waitFor("the groups are healthy again after "+string(action), func() bool {
		groups, err := d.sortedGroups()
		return err == nil && len(groups) == d.layout.Replicas && recovered(groups, before[0], victim, action)
	})
	took := time.Since(started)
	if err != nil {
		return 0, err
	}
	return took, d.restoreVM(victim, action)
}

// recovered reports whether every group is healthy, the affected one has a new
// generation, and the victim is in no group unless it was only restarted.
func recovered(groups []operator.GroupStatus, affected operator.GroupStatus, victim string, action engine.Action) bool {
	for _, g := range groups {
		if !g.Healthy || (g.ID == affected.ID && g.Generation == affected.Generation) {
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

// restoreVM restores a killed or frozen VM, so that it is a spare for the next
// failure.
func (d *deployment) restoreVM(vm string, action engine.Action) error {
	switch action {
	case engine.ActionKill:
		return d.applyAction(vm, engine.ActionRestart)
	case engine.ActionFreeze:
		return d.applyAction(vm, engine.ActionThaw)
	default:
		return nil
	}
}

func (d *deployment) applyAction(vm string, action engine.Action) error {
	response, err := d.client.Post("http://"+d.layout.EngineControlAddress()+engine.PathVM+vm+"/"+string(action), "", nil)
	if err != nil {
		return err
	}
	if response.StatusCode >= 300 {
		err = fmt.Errorf("%s %s: status %d", action, vm, response.StatusCode)
	}
	_ = response.Body.Close()
	return err
}

func (d *deployment) sortedGroups() ([]operator.GroupStatus, error) {
	status, err := d.operatorClient(0).Status(context.Background())
	if err != nil {
		return nil, err
	}
	sort.Slice(status.Groups, func(i, j int) bool { return status.Groups[i].ID < status.Groups[j].ID })
	return status.Groups, nil
}
