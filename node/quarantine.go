package node

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/quarantine"
	"redwinghall/relay"
)

const (
	// quarantineGatherTime is how long news of ended endpoints are gathered before they are sent: all nodes
	// that had requests there find out at the same moment.
	quarantineGatherTime = 5 * time.Millisecond
	// quarantineLogInterval is the least time between two looks at all suspected parts for the log. A crash of many
	// endpoints changes them hundreds of times a second.
	quarantineLogInterval = time.Second
	// quarantineTries is how many nodes are asked one after the other if those before don't respond.
	quarantineTries = 3
	// QuarantinePath is where a node shows the suspected and quarantined parts to operators.
	QuarantinePath = "/quarantine"
)

// startQuarantine tells the other nodes of ended endpoints as soon as this node learns of them.
func (n *Node) startQuarantine(g *kernel.Group) {
	if n.settings.FirstStart {
		n.quarantineHeard.Do(func() { close(n.quarantineKnown) }) // no node has learned anything yet
	}
	g.Keep("quarantine", n.followQuarantine)
	g.Keep("log_quarantine", n.followQuarantineLog)
}

func (n *Node) followQuarantine(ctx context.Context) error {
	var sent uint64
	for {
		changed := n.quarantine.Changed()
		n.gateway.CancelQuarantined()
		sent = n.tellQuarantine(ctx, sent)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
		n.gateway.CancelQuarantined() // before the news is gathered and sent
		kernel.Sleep(ctx, quarantineGatherTime)
	}
}

// tellQuarantine tells other nodes what this one learned after a sequence number, and returns the number to
// continue from. The first node of a zone tells all others of its zone, and the first ones of the other zones;
// the others of a zone tell the first one.
func (n *Node) tellQuarantine(ctx context.Context, sent uint64) uint64 {
	for try := range quarantineTries {
		now := time.Now()
		first := n.collectsLoads(now)
		report, seq := n.quarantine.News(now, sent, !first)
		if report.IsEmpty() {
			return seq
		}
		if first {
			n.spreadQuarantine(now, report)
			return seq
		}
		firsts := n.firsts(now)
		if len(firsts) == 0 {
			return seq
		}
		last := len(firsts) - 1
		if try == 0 { // a node that was passed over since then has just failed to respond
			n.tellEach(firsts[:last], report)
		}
		peer := firsts[last]
		_, err := n.neighbors.Quarantine(ctx, peer.Address, n.settings.Node, report, false)
		if err == nil {
			return seq
		}
		n.noteSilent(time.Now(), n.settings.Zone, peer, err)
	}
	return sent
}

func (n *Node) spreadQuarantine(now time.Time, report quarantine.Report) {
	peers := n.peers()
	for _, zone := range n.settings.Zones {
		if zone == n.settings.Zone {
			continue
		}
		if theirs, ok := n.backoff.FirstAvailable(now, n.peersOf(zone)); ok {
			peers = append(slices.Clone(peers), theirs)
		}
	}
	n.tellEach(peers, report)
}

// firsts returns the nodes that may be the first one of this node's zone, in order: those that this node passes over as they
// didn't respond lately, and the first one that it doesn't.
//
// A node that was slow for a moment is still the first one for all others, and for itself. What only the next one was told would
// stay there, as that one doesn't tell others, until tables are exchanged.
func (n *Node) firsts(now time.Time) []relay.Peer {
	peers := n.peers()
	first, ok := n.backoff.FirstAvailable(now, peers)
	if !ok {
		return nil
	}
	i := slices.IndexFunc(peers, func(peer relay.Peer) bool { return peer.Name == first.Name })
	return peers[:i+1]
}

// tellEach tells other nodes at the same time, without waiting for them.
func (n *Node) tellEach(peers []relay.Peer, report quarantine.Report) {
	for _, peer := range peers {
		if peer.Name == n.settings.Node {
			continue
		}
		n.group.Task("tell_quarantine", func(ctx context.Context) {
			if _, err := n.neighbors.Quarantine(ctx, peer.Address, n.settings.Node, report, false); err != nil {
				klog.InfoS("quarantine_not_told", "node", peer.Name, "err", err)
			}
		})
	}
}

// quarantineSync brings the tables of this node and of one that it reports to in line, also after a partition
// and after a start.
type quarantineSync struct {
	node *Node
	done quarantine.Exchanges
}

// compare exchanges the tables if the other node's digest differs.
func (s *quarantineSync) compare(ctx context.Context, now time.Time, peer relay.Peer, digest uint64) {
	n := s.node
	if own := n.quarantine.Digest(); own != digest {
		if !s.done.IsDue(now, own, digest) {
			return
		}
		s.done = s.done.With(now, 0, 0)
		theirs, err := n.neighbors.Quarantine(ctx, peer.Address, n.settings.Node, n.quarantine.All(now), true)
		if err != nil {
			klog.InfoS("quarantine_not_told", "node", peer.Name, "err", err)
			return
		}
		n.quarantine.Merge(time.Now(), theirs)
		s.done = s.done.With(now, n.quarantine.Digest(), digest)
	}
	n.quarantineHeard.Do(func() { close(n.quarantineKnown) })
}

// trialGranter asks the one node that grants trials for all nodes: the first one of the first zone that responds.
// In a zone that is cut off it is one of this zone.
type trialGranter struct{ node *Node }

// hosts returns the nodes that may grant trials, in the order in which they are asked.
func (t trialGranter) hosts(now time.Time) []relay.Peer {
	n := t.node
	zones := slices.Clone(n.settings.Zones)
	slices.Sort(zones)
	var hosts []relay.Peer
	for _, zone := range zones {
		if first, ok := n.backoff.FirstAvailable(now, n.peersOf(zone)); ok {
			hosts = append(hosts, first)
		}
	}
	return hosts
}

// RequestTrial implements gateway.TrialGranter.
func (t trialGranter) RequestTrial(ctx context.Context, request, service string, parts []string) quarantine.TrialAnswer {
	n := t.node
	now := time.Now()
	hosts := t.hosts(now)
	for _, host := range hosts[:min(len(hosts), quarantineTries)] {
		if host.Name == n.settings.Node {
			break
		}
		answer, known, err := n.neighbors.Trial(ctx, host.Address, neighbor.TrialRequest{
			Request: request, Service: service, Parts: parts, Known: n.quarantine.About(now, service, parts),
		})
		if err == nil {
			n.quarantine.Merge(time.Now(), known)
			return answer
		}
		if ctx.Err() != nil {
			return quarantine.TrialBusy
		}
		n.noteSilent(time.Now(), "", host, err)
	}
	return n.quarantine.RequestTrial(time.Now(), request, service, parts)
}

// EndTrial implements gateway.TrialGranter.
func (t trialGranter) EndTrial(request string) {
	n := t.node
	n.quarantine.EndTrial(request)
	hosts := t.hosts(time.Now())
	if len(hosts) == 0 || hosts[0].Name == n.settings.Node {
		return
	}
	n.group.Task("end_trial", func(ctx context.Context) {
		if _, _, err := n.neighbors.Trial(ctx, hosts[0].Address, neighbor.TrialRequest{Request: request, Over: true}); err != nil {
			klog.InfoS("trial_not_ended", "request", request, "err", err)
		}
	})
}

// followQuarantineLog keeps the log of suspected and quarantined parts.
func (n *Node) followQuarantineLog(ctx context.Context) error {
	logged := map[quarantine.Part]bool{}
	for {
		changed := n.quarantine.Changed()
		n.logQuarantine(logged)
		kernel.Sleep(ctx, quarantineLogInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// logQuarantine logs the parts that are suspected or quarantined now and weren't before, and those that no longer
// are. logged holds what was logged last: whether each part is quarantined.
func (n *Node) logQuarantine(logged map[quarantine.Part]bool) {
	statuses := n.quarantine.Statuses()
	current := make(map[quarantine.Part]bool, len(statuses))
	quarantined := 0
	for _, one := range statuses {
		if one.Quarantined {
			quarantined++
		}
		if one.Own && !one.Quarantined {
			continue // each end brings some, and its own line names them
		}
		current[one.Part] = one.Quarantined
		before, known := logged[one.Part]
		if known && before == one.Quarantined {
			continue
		}
		var ended []string
		for _, end := range one.Ends {
			ended = append(ended, end.Process.Endpoint+" under "+end.Request)
		}
		klog.InfoS("part_suspected", "part", one.Part.ID, "service", one.Part.Service, "quarantined", one.Quarantined, "since", one.Since,
			"ends", ended, "retest_at", one.RetestAt)
	}
	for part := range logged {
		if _, still := current[part]; !still {
			klog.InfoS("part_cleared", "part", part.ID, "service", part.Service)
			delete(logged, part)
		}
	}
	for part, q := range current {
		logged[part] = q
	}
	n.metrics.SetGauge("quarantine.suspected", int64(len(statuses)-quarantined))
	n.metrics.SetGauge("quarantine.quarantined", int64(quarantined))
}

// quarantinedPart is a suspected or quarantined part, as operators see it.
type quarantinedPart struct {
	Service     string       `json:"service"`
	Part        string       `json:"part"`
	Quarantined bool         `json:"quarantined"`
	Since       time.Time    `json:"since"`
	Last        time.Time    `json:"last"`
	RetestAt    *time.Time   `json:"retest_at,omitempty"`
	Ends        []endedUnder `json:"ends"`
}

// endedUnder is the end of an endpoint's process under a request.
type endedUnder struct {
	Endpoint string    `json:"endpoint"`
	Request  string    `json:"request"`
	At       time.Time `json:"at"`
	Trial    bool      `json:"trial"`
}

// serveQuarantine shows the suspected and quarantined parts.
func (n *Node) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	parts := []quarantinedPart{}
	for _, one := range n.quarantine.Statuses() {
		part := quarantinedPart{Service: one.Part.Service, Part: one.Part.ID, Quarantined: one.Quarantined, Since: one.Since, Last: one.Last}
		if one.Quarantined {
			part.RetestAt = &one.RetestAt
		}
		for _, end := range one.Ends {
			part.Ends = append(part.Ends, endedUnder{Endpoint: end.Process.Endpoint, Request: end.Request, At: end.At, Trial: end.Trial})
		}
		parts = append(parts, part)
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(parts); err != nil {
		klog.V(1).InfoS("quarantine_not_shown", "err", err)
	}
}

// releasePart ends the suspicion of a part, at all nodes.
func (n *Node) releasePart(w http.ResponseWriter, r *http.Request) {
	part := quarantine.Part{Service: r.PathValue("service"), ID: r.PathValue("part")}
	if !n.quarantine.Release(time.Now(), part) {
		http.Error(w, "nothing speaks against this part", http.StatusNotFound)
		return
	}
	klog.InfoS("part_released", "part", part.ID, "service", part.Service, "by", r.RemoteAddr)
	w.WriteHeader(http.StatusNoContent)
}
