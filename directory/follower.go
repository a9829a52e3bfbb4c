package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/platform"
)

// Timing of reads from the store. Each call is costly, so a busy table is read at
// intervals rather than at each change.
const (
	// feedWait is the long-poll timeout. It bounds how long a dead connection to the
	// store goes unnoticed, and so how late a configuration takes effect.
	feedWait = 1200 * time.Millisecond
	// operatorsInterval is the time between reads of the operators' table, which rarely changes.
	operatorsInterval = 150 * time.Millisecond
	// endpointsInterval is the time between reads of the endpoints' table, which changes
	// all the time. It is shorter than the notice that endpoints give before they leave.
	endpointsInterval = 800 * time.Millisecond
	// longestGap is above the time between two responses with the endpoints' table while each call is answered. If it is
	// longer, a call may have waited for a store that was away.
	longestGap = endpointsInterval + feedWait + 200*time.Millisecond
	// urgentEndpointsInterval is the interval while this node forms groups, or keeps endpoints whose entries may be
	// written again.
	urgentEndpointsInterval = 250 * time.Millisecond
	// relayedInterval is the time between reads relayed by another node, which put no load
	// on the store.
	relayedInterval = 150 * time.Millisecond
	// knownWait bounds the wait for the list of nodes, which can't be read while the
	// store is unavailable.
	knownWait = 2 * time.Second
	minPause  = 100 * time.Millisecond
	maxPause  = time.Second
	// retryWithin is the longest time between the beginnings of two calls to a store that doesn't
	// answer, if the first one ends within it: a late notice of its return leaves lapsed entries less of cutGrace.
	retryWithin    = 700 * time.Millisecond
	expireInterval = 200 * time.Millisecond
)

// Follower follows the store's tables and keeps a cache up to date.
type Follower struct {
	store fleet.Store
	cache *Cache
	// urgent reports whether this node is waiting for endpoints to change.
	urgent func() bool
	// known is closed once this node has read the list of nodes, from one of which it may
	// get the tables.
	known <-chan struct{}
	// rejections logs rows of the operators' table that can't be used.
	rejections rejections
	// absence records the calls that weren't answered.
	absence *absence
	// decodeEntry decodes a row of the endpoints' table.
	decodeEntry func(row fleet.Row, now time.Time) (Change, bool)
}

// NewFollower returns a follower. urgent may be nil.
func NewFollower(store fleet.Store, cache *Cache, urgent func() bool) *Follower {
	if urgent == nil {
		urgent = func() bool { return false }
	}
	return &Follower{store: store, cache: cache, urgent: urgent, absence: &absence{}, decodeEntry: decodeEndpoint}
}

// WithKnown returns a follower that waits up to knownWait before its first read until
// known is closed, so that it can get the tables from another node instead of the store.
func (f Follower) WithKnown(known <-chan struct{}) *Follower {
	f.known = known
	return &f
}

// Start follows both tables until the group stops.
func (f *Follower) Start(g *kernel.Group) {
	f.keepFollowing(g, "follow_operators", &feed{table: platform.TableOperators, decode: f.decodeOperators, unreadable: f.rejectOperators, missing: f.missingOperators,
		interval: func() time.Duration { return operatorsInterval }})
	f.keepFollowing(g, "follow_endpoints", &feed{table: platform.TableEndpoints, decode: f.decodeEntry, unreadable: unreadableEndpoint, missing: f.missingEndpoints,
		interval: f.endpointsInterval})
	g.Every("expire_endpoints", expireInterval, func(_ context.Context, now time.Time) { f.cache.Expire(now) })
}

// keepFollowing follows a table until the group stops. After a panic it lists the table again; the position
// read before still keeps out an older copy.
func (f *Follower) keepFollowing(g *kernel.Group, name string, feed *feed) {
	g.Keep(name, func(ctx context.Context) error {
		f.awaitKnown(ctx)
		feed.listed = false
		return f.follow(ctx, feed)
	})
}

// awaitKnown waits until f.known is closed, at most for knownWait.
func (f *Follower) awaitKnown(ctx context.Context) {
	if f.known == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, knownWait)
	defer cancel()
	select {
	case <-f.known:
	case <-ctx.Done():
	}
}

func (f *Follower) endpointsInterval() time.Duration {
	if f.urgent() || f.cache.hasLapsed() {
		return urgentEndpointsInterval
	}
	return endpointsInterval
}

// feed is one table that is followed.
type feed struct {
	table  string
	decode func(row fleet.Row, now time.Time) (Change, bool)
	// unreadable returns the change for a row whose decoding panicked.
	unreadable func(row fleet.Row, err error) (Change, bool)
	missing    func(rows []fleet.Row) []Change // changes for what a new list lacks
	interval   func() time.Duration

	at fleet.Position
	// restoredUntil is the time until which a list may be older than the known state.
	restoredUntil time.Time
	// answeredAt is when the store last answered, and more says that it had more changes then.
	answeredAt time.Time
	more       bool
	// lapsedUntil is the time until which endpoints are kept whose entries a response reports as missing.
	lapsedUntil time.Time

	listed  bool
	failing bool // the last call failed
	pause   time.Duration
}

// follow reads a table until ctx ends. While the store is unavailable, the known
// state stays in effect.
func (f *Follower) follow(ctx context.Context, feed *feed) error {
	for ctx.Err() == nil {
		started := time.Now()
		rows, err := f.step(ctx, feed)
		if ctx.Err() != nil {
			return nil
		}
		wait := feed.interval() - time.Since(started)
		switch {
		case err != nil:
			wait = f.failed(feed, started, time.Now(), err)
		case rows.Relayed:
			wait = relayedInterval - time.Since(started)
		case rows.More:
			// A response holds a bounded number of changes. With thousands of endpoints, a
			// node that read one response per interval would fall further and further
			// behind, and a lease holder would send the same orders again and again.
			wait = 0
		}
		if wait > 0 && !kernel.Sleep(ctx, wait) {
			return nil
		}
	}
	return nil
}

// failed records a failed call and returns how long to wait before the next one.
func (f *Follower) failed(feed *feed, started, now time.Time, err error) time.Duration {
	if redwinghall.KindOf[fleet.StoreKind](err) == fleet.StoreHistoryGone {
		klog.InfoS("store_history_gone", "table", feed.table, "era", feed.at.Era, "after", feed.at.Version)
		feed.listed = false
		return minPause // a store that keeps dropping its history must not be called without a pause
	}
	took := now.Sub(started)
	called := redwinghall.KindOf[fleet.StoreKind](err) != fleet.StoreUnreachable
	f.absence.note(started, now, called)
	if !feed.failing {
		klog.InfoS("store_lost", "table", feed.table, "era", feed.at.Era, "version", feed.at.Version, "took", took, "err", err)
	}
	feed.failing = true
	feed.pause = min(max(2*feed.pause, minPause), maxPause)
	if !called {
		return retryWithin // only other nodes were asked, and all nodes of a zone ask the same one
	}
	wait := feed.pause/2 + rand.N(feed.pause/2+1)
	return min(wait, max(minPause, retryWithin-took))
}

// step reads a table once and applies the changes.
func (f *Follower) step(ctx context.Context, feed *feed) (fleet.Rows, error) {
	started := time.Now()
	rows, err := f.read(ctx, feed)
	if err != nil {
		return rows, err
	}
	now := time.Now()
	if feed.hung(rows, started, now) {
		f.absence.note(started, now, true) // until the store was back
	}
	until, unanswered := f.absence.since(feed.answeredAt)
	wasAway := feed.failing || (unanswered && now.Sub(feed.answeredAt) > longestGap)
	feed.recordResponse(now, rows, wasAway, until)
	f.cache.Apply(now, feed.changes(now, rows)...)
	feed.at, feed.listed = feed.at.Later(rows.At), true
	switch feed.table {
	case platform.TableEndpoints:
		f.cache.NoteRead(rows.At)
	case platform.TableOperators:
		f.cache.noteConfirmed(now.Add(-rows.Age))
	}
	return rows, nil
}

// hung reports whether a call took so much longer than it waits for changes that the store didn't answer in its time.
func (f *feed) hung(rows fleet.Rows, started, now time.Time) bool {
	if f.failing {
		return now.Sub(started) > resentAfter
	}
	return !rows.Relayed && kernel.RunTime(started, now) > feedWait+answeredWithin
}

// recordResponse records a response of the store. wasAway says that the store may have been away since the last
// one, until awayUntil at least.
//
// Entries lapse while the store is away, so only the first response after that reports lapses, or the first list of a
// store that was restored from an older copy. What is reported after it was removed while the store answered.
func (f *feed) recordResponse(now time.Time, rows fleet.Rows, wasAway bool, awayUntil time.Time) {
	switch {
	case !f.at.IsZero() && rows.At.Era > f.at.Era:
		klog.InfoS("store_era", "table", f.table, "era", rows.At.Era, "before", f.at.Era, "version", rows.At.Version, "version_before", f.at.Version)
		f.restoredUntil = now.Add(RestoredGrace)
		f.lapsedUntil = now.Add(LapseGrace)
	case wasAway:
		f.lapsedUntil = earlierTime(now.Add(LapseGrace), awayUntil.Add(cutGrace))
	case !f.more:
		f.lapsedUntil = time.Time{}
	}
	if f.failing {
		klog.InfoS("store_regained", "table", f.table, "version", rows.At.Version)
		f.failing, f.pause = false, 0
	}
	f.answeredAt, f.more = now, rows.More
}

// changes returns the changes in a response. A list also yields changes for what it lacks,
// and may be as old as the copy from which the store was restored.
func (f *feed) changes(now time.Time, rows fleet.Rows) []Change {
	var changes []Change
	if !f.listed {
		klog.InfoS("store_listed", "table", f.table, "era", rows.At.Era, "version", rows.At.Version, "rows", len(rows.Rows))
		changes = f.missing(rows.Rows)
		for i := range changes {
			changes[i].LapsedUntil = f.lapsedUntil
		}
	}
	for _, row := range rows.Rows {
		if change, ok := f.decodeRow(row, now); ok {
			if row.Removed {
				change.LapsedUntil = f.lapsedUntil
			}
			changes = append(changes, change)
		}
	}
	restored := !f.listed && now.Before(f.restoredUntil)
	for i := range changes {
		changes[i].Restored = restored
	}
	return changes
}

// decodeRow decodes a row. One whose decoding panics counts as unreadable, as it would panic at each read and
// keep all nodes from the rows behind it.
func (f *feed) decodeRow(row fleet.Row, now time.Time) (change Change, ok bool) {
	err := kernel.Protect("decode_row", func() error {
		change, ok = f.decode(row, now)
		return nil
	})
	if err != nil {
		return f.unreadable(row, err)
	}
	return change, ok
}

func (f *Follower) read(ctx context.Context, feed *feed) (fleet.Rows, error) {
	if !feed.listed {
		rows, err := f.store.List(ctx, feed.table)
		if err == nil && rows.At.Era < feed.at.Era {
			return fleet.Rows{}, redwinghall.NewOpError("Follower.read", fleet.StoreUnavailable, errEarlierEra)
		}
		if err == nil && rows.At.Before(feed.at) {
			// What was read after the list's position would be lost for good, as changes are asked for after feed.at.
			return fleet.Rows{}, redwinghall.NewOpError("Follower.read", fleet.StoreUnavailable, errOlderList)
		}
		return rows, err
	}
	rows, err := f.store.Changes(ctx, feed.table, feed.at, feed.wait())
	if err == nil && rows.At.Era != feed.at.Era {
		return fleet.Rows{}, redwinghall.NewOpError("Follower.read", fleet.StoreHistoryGone, errOtherEra)
	}
	return rows, err
}

// wait returns how long the store may wait for changes. The first call after failed ones doesn't
// wait: what its response lacks changed after the store's return.
func (f *feed) wait() time.Duration {
	if f.failing {
		return 0
	}
	return feedWait
}

var (
	errEarlierEra = errors.New("list is of an earlier era of the store")
	errOlderList  = errors.New("list is older than what was read before")
	errOtherEra   = errors.New("changes are of another era of the store")
)

func (f *Follower) decodeOperators(row fleet.Row, _ time.Time) (Change, bool) {
	if zone, ok := platform.EvacuatedZone(row.Key); ok {
		klog.InfoS("zone_decided", "zone", zone, "out", !row.Removed, "version", row.Version)
		if row.Removed {
			return Change{ZoneIn: zone}, true
		}
		return Change{ZoneOut: zone}, true
	}
	if !platform.IsConfiguration(row.Key) {
		return Change{}, false
	}
	if row.Removed {
		f.rejections.note(rejection{what: whatConfiguration, version: row.Version, why: "its row was removed"})
		return Change{}, false
	}
	config, err := platform.DecodeConfiguration(row.Value)
	if err != nil {
		f.rejections.note(rejection{what: whatConfiguration, version: row.Version, why: err.Error()})
		return Change{}, false
	}
	klog.InfoS("configuration_read", "configuration", config.Version, "routes", len(config.Routes),
		"accounts", len(config.Accounts), "version", row.Version)
	return Change{Config: config}, true
}

// rejectOperators rejects a row of the operators' table that can't be read.
func (f *Follower) rejectOperators(row fleet.Row, err error) (Change, bool) {
	what := row.Key
	if platform.IsConfiguration(row.Key) {
		what = whatConfiguration
	}
	f.rejections.note(rejection{what: what, version: row.Version, why: err.Error()})
	return Change{}, false
}

func decodeEndpoint(row fleet.Row, now time.Time) (Change, bool) {
	if row.Removed {
		return Change{Gone: row.Key}, true
	}
	endpoint, err := platform.DecodeEndpoint(row, now)
	if err != nil {
		return unreadableEndpoint(row, err)
	}
	return Change{Endpoint: endpoint}, true
}

// unreadableEndpoint returns the change for an entry that can't be read: it names no endpoint to use.
func unreadableEndpoint(row fleet.Row, err error) (Change, bool) {
	klog.InfoS("entry_unreadable", "endpoint", row.Key, "version", row.Version, "err", err)
	return Change{Gone: row.Key}, true
}

// missingEndpoints returns changes for the known endpoints that a new list lacks.
func (f *Follower) missingEndpoints(rows []fleet.Row) []Change {
	ids, _ := f.cache.Known()
	var changes []Change
	for _, id := range missingNames(ids, rows, func(row fleet.Row) string { return row.Key }) {
		changes = append(changes, Change{Gone: id})
	}
	return changes
}

// missingOperators returns changes for the zones that were out of service and are missing
// from a new list.
func (f *Follower) missingOperators(rows []fleet.Row) []Change {
	_, zones := f.cache.Known()
	f.noteMissingConfig(rows)
	var changes []Change
	for _, zone := range missingNames(zones, rows, func(row fleet.Row) string { z, _ := platform.EvacuatedZone(row.Key); return z }) {
		changes = append(changes, Change{ZoneIn: zone})
	}
	return changes
}

// noteMissingConfig logs that a list lacks the configuration although one is in force.
func (f *Follower) noteMissingConfig(rows []fleet.Row) {
	config := f.cache.View().Config()
	listed := slices.ContainsFunc(rows, func(row fleet.Row) bool { return platform.IsConfiguration(row.Key) })
	if config != nil && !listed {
		f.rejections.note(rejection{what: whatConfiguration, version: config.Version, why: "the list lacks the one in force"})
	}
}

// missingNames returns the names that no row has.
func missingNames(names []string, rows []fleet.Row, name func(fleet.Row) string) []string {
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[name(row)] = true
	}
	var missing []string
	for _, one := range names {
		if !listed[one] {
			missing = append(missing, one)
		}
	}
	return missing
}
