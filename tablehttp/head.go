package tablehttp

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/peer"
)

// Keys of the rows that hold accepted manifests and zone states.
const (
	KeyHead              = "head"
	keyContent           = "manifest_content/"
	keySubmission        = "submission/"
	zoneReadsPerInterval = 3 // approximate reads of the head row in each interval by all processes of a zone
)

// KeyContent returns the key of the row that holds the manifest with a hash.
func KeyContent(hash string) string { return keyContent + hash }

// KeySubmission returns the key of the row that records an accepted submission.
func KeySubmission(id string) string { return keySubmission + id }

// Head is the value of the head row, which holds the generation and hash of the
// manifest in force and the states of all zones, so that one read returns them.
type Head struct {
	Generation uint64                                  `json:"generation"`
	Hash       string                                  `json:"hash"`
	SubmitID   string                                  `json:"submit_id"`
	Zones      map[string]redwinghall.AvailabilityZone `json:"zones"`
}

// ParseHead decodes the head row. If the row does not exist, the head is empty.
func ParseHead(row redwinghall.Row) (Head, error) {
	var h Head
	if row.Version == 0 {
		return h, nil
	}
	err := json.Unmarshal(row.Value, &h)
	return h, err
}

// WithZone returns a copy of the head with the state of one zone replaced.
func (h Head) WithZone(z redwinghall.AvailabilityZone) Head {
	zones := make(map[string]redwinghall.AvailabilityZone, len(h.Zones)+1)
	for id, one := range h.Zones {
		zones[id] = one
	}
	zones[z.ID] = z
	h.Zones = zones
	return h
}

// Follower reads the head row periodically and publishes newer values to the
// peers. Operators' changes thus reach a process in two ways: from the table, and
// from its peers.
type Follower struct {
	table    redwinghall.Table
	node     *peer.Node
	interval time.Duration

	mu          sync.Mutex
	nextRead    time.Time
	unreachable time.Time // since when the table has not responded; zero if it responds
}

// NewFollower returns a follower that reads about once in each interval. If the
// zone has more than a few processes, each of them reads less often, so that the
// load on the platform does not grow with their number.
func NewFollower(table redwinghall.Table, node *peer.Node, interval time.Duration) *Follower {
	return &Follower{table: table, node: node, interval: interval}
}

// Tick reads the head row if a read is due.
func (f *Follower) Tick(ctx context.Context, now time.Time) {
	f.mu.Lock()
	due := !now.Before(f.nextRead)
	f.mu.Unlock()
	if !due {
		return
	}
	err := f.Read(ctx)
	members := len(f.node.Members(f.node.Self.AvailabilityZone))
	f.recordRead(now, err, f.interval*time.Duration(max(1, members/zoneReadsPerInterval)))
}

func (f *Follower) recordRead(now time.Time, err error, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextRead = now.Add(wait)
	if err == nil {
		if !f.unreachable.IsZero() {
			klog.InfoS("platform_reachable", "after", now.Sub(f.unreachable))
		}
		f.unreachable = time.Time{}
		return
	}
	if f.unreachable.IsZero() {
		f.unreachable = now
		klog.ErrorS(err, "platform_unreachable")
	}
}

// UnreachableSince returns since when the table has not responded, or the zero time
// if it responds.
func (f *Follower) UnreachableSince() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unreachable
}

// Read reads the head row and publishes what is newer than the local copy.
func (f *Follower) Read(ctx context.Context) error {
	rows, err := f.table.Read(ctx, KeyHead)
	if err != nil {
		return err
	}
	head, err := ParseHead(rows[0])
	if err != nil {
		return redwinghall.NewOpError("Follower.Read", redwinghall.TableUnavailable, err)
	}
	for _, zone := range head.Zones {
		if err := f.publish(peer.KeyZoneState(zone.ID), zone.Number, zone); err != nil {
			return err
		}
	}
	held, _ := f.node.Store.Get(peer.KeyManifest)
	if head.Generation <= held.Number {
		return nil
	}
	return f.readContent(ctx, head)
}

func (f *Follower) readContent(ctx context.Context, head Head) error {
	rows, err := f.table.Read(ctx, KeyContent(head.Hash))
	if err != nil {
		return err
	}
	if rows[0].Version == 0 {
		return redwinghall.NewOpError("Follower.readContent", redwinghall.TableUnavailable,
			fmt.Errorf("manifest %s is not in the table", head.Hash))
	}
	accepted := redwinghall.Accepted{Generation: head.Generation, Hash: head.Hash, SubmitID: head.SubmitID}
	if err := json.Unmarshal(rows[0].Value, &accepted.Manifest); err != nil {
		return redwinghall.NewOpError("Follower.readContent", redwinghall.TableUnavailable, err)
	}
	klog.InfoS("manifest_in_force", "generation", head.Generation, "hash", head.Hash)
	return f.publish(peer.KeyManifest, head.Generation, accepted)
}

func (f *Follower) publish(key string, number uint64, value any) error {
	if held, ok := f.node.Store.Get(key); ok && held.Number >= number {
		return nil
	}
	data, err := json.Marshal(value)
	if err != nil {
		return redwinghall.NewOpError("Follower.publish", redwinghall.TableUnavailable, err)
	}
	f.node.Publish(peer.Entry{Key: key, Number: number, Value: data})
	return nil
}
