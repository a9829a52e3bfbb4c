package members

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/relay"
)

// Node is a node's announcement of itself.
type Node struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Capacity is the capacity class of its VM; a VM of a higher class can carry more load.
	Capacity int `json:"capacity,omitempty"`
}

// decodeNode decodes the row with a node's key.
//
// A row that names no node, or another one, would count as one more node: all nodes would use
// a smaller share of the limits that they have together, and might take it for their reader.
func decodeNode(key string, value []byte) (announcement, error) {
	var a announcement
	if err := json.Unmarshal(value, &a); err != nil {
		return announcement{}, err
	}
	if nodePrefix+a.Name != key || a.Name == "" || a.Zone == "" {
		return announcement{}, errNoNode
	}
	return a, nil
}

var errNoNode = errors.New("the row doesn't name the node of its key, with a zone")

// Peer returns the node as a relay peer.
func (n Node) Peer() relay.Peer {
	return relay.Peer{Name: n.Name, Address: n.Address, Capacity: n.Capacity}
}

// seenNode is the last known state of a node's row.
type seenNode struct {
	node    announcement // the zero value if the row names none
	version int64
	since   time.Time // when this version was first read
}

// Nodes returns the nodes that are considered alive, including this one.
func (t *Table) Nodes() []Node { return *t.nodes.Load() }

// updateNodes updates the list of live nodes from the rows of the table.
func (t *Table) updateNodes(boot time.Time, rows map[string]redwinghall.Row) {
	next := map[string]seenNode{}
	nodes := []Node{t.config.Self}
	for key, row := range rows {
		if !strings.HasPrefix(key, nodePrefix) {
			continue
		}
		s := t.seen[key]
		if s.version != row.Version {
			s = seenNode{version: row.Version, since: boot}
			node, err := decodeNode(key, row.Value)
			if err != nil {
				klog.ErrorS(err, "member_unreadable", "key", key, "version", row.Version)
			}
			s.node = node
		}
		next[key] = s
		if s.node.Name != "" && s.node.Name != t.config.Self.Name && boot.Sub(s.since) < t.scaledByNodes(memberTimeout) {
			nodes = append(nodes, s.node.Node)
		}
	}
	nodes = append(nodes, t.unlistedNodes(boot, next)...)
	t.seen = next
	if len(nodes) != len(*t.nodes.Load()) {
		klog.InfoS("members_changed", "nodes", len(nodes), "before", len(*t.nodes.Load()))
	}
	t.nodes.Store(&nodes)
}

// excuseUnread lets nodes that were alive at the last read count for a while if this node then didn't read the table for
// long. They couldn't write their rows if the store was away, and only their new rows tell that from their deaths.
func (t *Table) excuseUnread(boot time.Time) {
	if t.listedAt.IsZero() || boot.Sub(t.listedAt) <= 2*listInterval {
		return
	}
	timeout := t.scaledByNodes(memberTimeout)
	latest := boot.Add(t.scaledByNodes(restoreGrace) - timeout)
	for key, s := range t.seen {
		if t.listedAt.Sub(s.since) < timeout && s.since.Before(latest) {
			s.since = latest
			t.seen[key] = s
		}
	}
}

// unlistedNodes returns the live nodes whose rows are missing since the store was restored
// from an older copy, and copies them to next. It returns none once restoreGrace is over.
func (t *Table) unlistedNodes(boot time.Time, next map[string]seenNode) []Node {
	if t.restoredAt.IsZero() || boot.Sub(t.restoredAt) > restoreGrace {
		return nil
	}
	var nodes []Node
	for key, s := range t.seen {
		if _, listed := next[key]; listed || s.node.Name == "" || s.node.Name == t.config.Self.Name {
			continue
		}
		next[key] = s
		if boot.Sub(s.since) < t.scaledByNodes(memberTimeout) {
			nodes = append(nodes, s.node.Node)
		}
	}
	return nodes
}

// announceDue reports whether this node has to write its row. After a failed attempt it tries again
// soon after it has read the table.
//
// Two short cuts of the store could otherwise hit two announcements in a row, and others would
// take the node for dead. While the store is away there is no further attempt: it would delay
// those for the lease.
func (t *Table) announceDue(boot time.Time) bool {
	if !t.announceAgainAt.IsZero() && !boot.Before(t.announceAgainAt) {
		return true
	}
	return t.announcedAt.IsZero() || boot.Sub(t.announcedAt) >= t.announceEvery()
}

func (t *Table) announce(ctx context.Context, boot time.Time) {
	value, err := json.Marshal(t.newAnnouncement())
	if err != nil {
		klog.ErrorS(err, "member_unwritten")
		return
	}
	at, err := t.store.Commit(ctx, fleet.Txn{Writes: []fleet.Row{{Table: tableName, Key: nodePrefix + t.config.Self.Name, Value: value}}})
	t.announcedAt, t.announceAgainAt, t.unannounced = boot, time.Time{}, err != nil
	if err != nil {
		klog.V(1).InfoS("member_unwritten", "err", err)
		return
	}
	t.notePosition(at)
}

// announceFirst writes this node's row before the table is read for the first time.
//
// If all nodes started together and each read the table first, it would find few other
// nodes and read the whole store itself until its next list. The number of store calls at
// startup would then grow with the number of nodes.
func (t *Table) announceFirst(ctx context.Context, boot time.Time) {
	t.announce(ctx, boot)
	t.listTriedAt = boot.Add(firstStartDelay - listInterval)
}

// announceEvery returns how often this node writes its row.
func (t *Table) announceEvery() time.Duration { return t.scaledByNodes(announceInterval) }

// scaledByNodes lengthens an interval in proportion to the number of nodes, once they are
// too many for announceInterval.
func (t *Table) scaledByNodes(d time.Duration) time.Duration {
	many := time.Duration(len(*t.nodes.Load())) * announcePerNode
	return time.Duration(float64(d) * max(1, float64(many)/float64(announceInterval)))
}
