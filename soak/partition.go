package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
	"redwinghall/standin/link"
)

// Bounds on what callers of parted nodes see, as the users state them.
const (
	// contactTime is how long after a partition began, or another fault ended, the bounds apply.
	contactTime = 3 * time.Second
	// partedShare is the least share of first tries that parted nodes serve, against that of the
	// others, once more than partedSlack tries and a partedFailures-th of all have failed.
	partedShare    = 2.0 / 3
	partedSlack    = 10
	partedFailures = 50
	// minPartedTime is long enough that tries come after contactTime.
	minPartedTime = contactTime + 2*time.Second
)

// partition is a time in which some nodes reached no endpoint.
type partition struct {
	nodes    map[int]bool
	from, to time.Time
}

// linkEndpoints returns what a node reads in the endpoints' entries: instead of each address that
// of a link of its own. Nodes of a zone with more than three nodes read by way of one of them, and
// so share its links.
func (d *deployment) linkEndpoints(n *nodeProcess) platformtest.Rewrite {
	return func(table, _ string, value []byte) []byte {
		var entry struct {
			Address string `json:"address"`
		}
		if table != "servers" || json.Unmarshal(value, &entry) != nil || entry.Address == "" {
			return value
		}
		l, err := d.linkTo(n, entry.Address)
		if err != nil {
			d.addViolation("no link for an endpoint: %v", err)
			return value
		}
		return []byte(strings.Replace(string(value), entry.Address, l.Address(), 1))
	}
}

func (d *deployment) linkTo(n *nodeProcess, address string) (*link.Link, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l, ok := n.endpointLinks[address]; ok {
		return l, nil
	}
	l, err := link.New(d.group, net.JoinHostPort(linkHost, "0"), address)
	if err == nil {
		n.endpointLinks[address] = l
	}
	return l, err
}

func (d *deployment) addViolation(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// excuseStore begins a fault of the store or of a link to it. The returned function ends it.
func (d *deployment) excuseStore(faults *intervals) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	faults.begin(time.Now())
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		faults.end(time.Now())
	}
}

var partitionModes = []link.Mode{link.SwallowAndRefuse, link.ResetAndRefuse, link.Refuse}

// partNodes parts some nodes from all endpoints, at least one node less than there are.
func partNodes(ctx context.Context, d *deployment, duration time.Duration) error {
	first, count := d.randomInt(len(d.nodes)), 1+d.randomInt(max(1, len(d.nodes)-1))
	mode := partitionModes[d.randomInt(len(partitionModes))]
	duration += minPartedTime
	p := d.beginPartition(first, count)
	if len(p.nodes) == 0 {
		return nil
	}
	d.recordFault("%d nodes from node-%d are parted from all endpoints (%s) for %s", count, first, mode, duration)
	d.setPaths(p, mode)
	kernel.Sleep(ctx, duration)
	p.to = time.Now()
	d.setPaths(p, link.Pass)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.partitions = append(d.partitions, p)
	for i := range p.nodes {
		d.nodes[i].parted = false
	}
	return nil
}

// beginPartition reserves those of some nodes that no other partition has, so that at least one node
// of all stays.
func (d *deployment) beginPartition(first, count int) partition {
	d.mu.Lock()
	defer d.mu.Unlock()
	left := 0
	for _, n := range d.nodes {
		if !n.parted {
			left++
		}
	}
	p := partition{nodes: map[int]bool{}, from: time.Now()}
	for i := 0; i < count && left > 1; i++ {
		at := (first + i) % len(d.nodes)
		if d.nodes[at].parted {
			continue
		}
		d.nodes[at].parted, p.nodes[at] = true, true
		left--
	}
	return p
}

// setPaths sets the links of the parted nodes to all endpoints that they know.
func (d *deployment) setPaths(p partition, mode link.Mode) {
	for i := range p.nodes {
		d.mu.Lock()
		var links []*link.Link
		for _, l := range d.nodes[i].endpointLinks {
			links = append(links, l)
		}
		d.mu.Unlock()
		for _, l := range links {
			l.Set(mode, 0)
		}
	}
}

// checkPartitions checks the bounds over all tries at times when no other fault excuses a node.
func (d *deployment) checkPartitions(r *results) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	var violations []string
	for _, p := range d.partitions {
		var parted, others struct{ sent, served int }
		for _, one := range r.tries {
			if one.sent.Before(p.from.Add(contactTime)) || one.sent.After(p.to) || d.excused(one) {
				continue
			}
			count := &others
			switch {
			case p.nodes[one.node] && !d.someReach(one.sent):
				continue // nobody could help
			case p.nodes[one.node]:
				count = &parted
			case d.partedAt(one.node, one.sent):
				continue // by another partition, which has its own check
			}
			count.sent++
			if one.served {
				count.served++
			}
		}
		failed := parted.sent - parted.served
		if parted.sent == 0 || others.sent == 0 || failed <= partedSlack+(parted.sent+others.sent)/partedFailures {
			continue
		}
		if float64(parted.served)/float64(parted.sent) < partedShare*float64(others.served)/float64(others.sent) {
			violations = append(violations, fmt.Sprintf("nodes parted from all endpoints from %s to %s served %d of %d first tries, the others %d of %d",
				p.from.Format("15:04:05.000"), p.to.Format("15:04:05.000"), parted.served, parted.sent, others.served, others.sent))
		}
	}
	return violations
}

// partedAt reports whether a partition covered a node at a time. The lock is held.
func (d *deployment) partedAt(node int, at time.Time) bool {
	for _, p := range d.partitions {
		if p.nodes[node] && !at.Before(p.from) && !at.After(p.to) {
			return true
		}
	}
	return false
}

// someReach reports whether some node was in touch and reached the endpoints at a time, and for
// contactTime before. The lock is held.
func (d *deployment) someReach(at time.Time) bool {
	for i := range d.nodes {
		if !d.partedAt(i, at) && !d.partedAt(i, at.Add(-contactTime)) && !d.excused(try{node: i, sent: at}) {
			return true
		}
	}
	return false
}

// excused reports whether a node was not in touch when a try began. The lock is held.
func (d *deployment) excused(one try) bool {
	n, from := d.nodes[one.node], one.sent.Add(-contactTime)
	return n.faults.overlap(from, one.sent) || n.storeFaults.overlap(from, one.sent) || d.storeFaults.overlap(from, one.sent)
}
