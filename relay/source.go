package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/fleet"
)

// Which nodes read the store, and when others stop trusting a reader.
const (
	// maxDirectReaders is the most nodes with which a zone needs no reader: all read
	// the store themselves, as their calls cost less than a reader's failure would cost the others.
	maxDirectReaders = 3
	// staleAfter is the age from which a reader's answer is not used: a reader
	// that lost the store would keep others from what they could read
	// themselves, and new configurations would be in force late.
	staleAfter = 1200 * time.Millisecond
	// listStaleAfter is the same for whole tables: it is above the interval of
	// the members' table, the only one that is listed again and again.
	listStaleAfter = 4 * time.Second
	// readerWait is the longest wait of a reader that others follow: while it
	// reaches the store, its answers are younger than staleAfter.
	readerWait = 700 * time.Millisecond
	// followWait is the longest wait of a node for its reader; after it and the
	// timeout of the call, a reader that fell silent is noticed.
	followWait = 700 * time.Millisecond
	// awayAfter is the silence of the store from which a node asks for help only.
	awayAfter = 3 * time.Second
	// probePause is the least time between two calls of a node that isn't the
	// zone's reader to a store that doesn't answer it. The reader asks on, and
	// the others hear from it when the store returns. Each node of the zone
	// adds at least probePerNode, as all together make that many calls.
	probePause   = 1500 * time.Millisecond
	probePerNode = 100 * time.Millisecond
	probeSpread  = 0.33 // of the pause
	// backoffFirst is how long a reader that failed is left alone; each further
	// failure doubles it up to backoffLongest.
	backoffFirst   = 3 * time.Second
	backoffLongest = 30 * time.Second
)

// PeerClient asks another node for what it read.
type PeerClient interface {
	List(ctx context.Context, address, table string) (Answer, error)
	Changes(ctx context.Context, address, table string, after fleet.Position, wait time.Duration) (Answer, error)
	Commit(ctx context.Context, address string, txn fleet.Txn) (fleet.Position, error)
}

// Config is what a source works with.
type Config struct {
	Store      fleet.Store
	PeerClient PeerClient
	Self       string // this node's name
	// Peers returns the nodes of this zone, this one included; RemotePeers those of
	// the other zones.
	Peers, RemotePeers func() []Peer
	// Leader returns the name of the node that forms the zone's groups, if it is known.
	Leader func() string
	// EqualFor returns, for a table, how values of its rows are compared; nil where
	// each writing counts.
	EqualFor func(table string) EqualValues
}

// Source is a store whose tables are read by one node of the zone for all,
// where that will do. Transactions always go to the store.
//
// The reader is the node that forms the zone's groups, so that it sees first
// what comes of its orders; after it comes the first in an order that all nodes
// agree on. A node that finds the reader silent or stale skips it, so the next
// one takes its place. Each node keeps what it was told, and can go on from there.
//
// Gain: reads of the store grow with the number of zones, not of nodes.
type Source struct {
	config Config

	avoided *PeerBackoff
	mu      sync.Mutex
	mirrors map[string]*Mirror
	// answered is when the store last answered this node itself, in Unix nanoseconds.
	answered atomic.Int64
	// era is the newest era of the store that this node has heard of.
	era atomic.Int64
	// probeAt is, by table, when this node may call a store again that didn't answer it.
	probeAt map[string]time.Time
}

var _ fleet.Store = (*Source)(nil)

// NewSource returns a source that has read nothing.
func NewSource(config Config) *Source {
	return &Source{
		config: config, avoided: NewPeerBackoff(backoffFirst, backoffLongest), mirrors: map[string]*Mirror{}, probeAt: map[string]time.Time{},
	}
}

// Mirror returns what this node read of a table.
func (s *Source) Mirror(table string) *Mirror {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.mirrors[table]
	if !ok {
		m = NewMirror(s.config.EqualFor(table))
		s.mirrors[table] = m
	}
	return m
}

// List implements fleet.Store.
func (s *Source) List(ctx context.Context, table string) (fleet.Rows, error) {
	list := func(peer Peer) (Answer, error) { return s.config.PeerClient.List(ctx, peer.Address, table) }
	peer, follows := s.reader(time.Now())
	var asked error
	if follows {
		var answer Answer
		if answer, asked = s.ask(peer, table, listStaleAfter, list); asked == nil {
			s.Mirror(table).ApplyList(time.Now().Add(-answer.Age), answer.Rows)
			return answer.Rows, nil
		}
	}
	rows, err := s.call(time.Now(), table, func() (fleet.Rows, error) { return s.config.Store.List(ctx, table) })
	if err != nil {
		s.Mirror(table).SetStoreUnreachable()
		return s.askOthers(table, listStaleAfter, err, list)
	}
	s.avoidIfAway(peer, asked)
	s.Mirror(table).ApplyList(time.Now(), rows)
	return rows, nil
}

// call calls the store itself, unless it didn't answer this node just now.
//
// Guard: in an outage no reader has anything to tell, so each node would call
// the store on and on, and the store would return to a load of all nodes.
func (s *Source) call(now time.Time, table string, read func() (fleet.Rows, error)) (fleet.Rows, error) {
	if !s.mayCall(now, table) {
		return fleet.Rows{}, redwinghall.NewOpError("Source.call", fleet.StoreUnavailable, errNotNow)
	}
	rows, err := read()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch redwinghall.KindOf[fleet.StoreKind](err) {
	case "", fleet.StoreHistoryGone:
		delete(s.probeAt, table)
		s.noteAnswer()
		s.noteEra(rows.At)
	default:
		s.probeAt[table] = time.Now().Add(s.probePauseNow())
	}
	return rows, err
}

// probePauseNow returns how long this node leaves a store alone that didn't answer it.
func (s *Source) probePauseNow() time.Duration {
	pause := max(probePause, time.Duration(len(s.config.Peers()))*probePerNode)
	return pause + time.Duration(probeSpread*rand.Float64()*float64(pause))
}

var errOtherEra = errors.New("the changes are of another era of the store")

var errNotNow = errors.New("the store didn't answer this node just now")

// mayCall reports whether this node may call the store itself: the zone's
// reader always, others if it didn't fail them just now.
func (s *Source) mayCall(now time.Time, table string) bool {
	peers := s.config.Peers()
	if len(peers) <= maxDirectReaders || leaderFirst(RankPeers(peers, Reader), s.config.Leader())[0].Name == s.config.Self {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !now.Before(s.probeAt[table])
}

// Changes implements fleet.Store.
func (s *Source) Changes(ctx context.Context, table string, after fleet.Position, wait time.Duration) (fleet.Rows, error) {
	changes := func(peer Peer) (Answer, error) {
		return s.config.PeerClient.Changes(ctx, peer.Address, table, after, min(wait, followWait))
	}
	peer, follows := s.reader(time.Now())
	var asked error
	if follows {
		var rows fleet.Rows
		rows, asked = s.changesFrom(peer, table, after, changes)
		if asked == nil || redwinghall.KindOf[fleet.StoreKind](asked) == fleet.StoreHistoryGone {
			return rows, asked
		}
	} else if !s.away() && !s.Mirror(table).Continues(after) {
		// Others will ask this node: it needs the whole table first.
		return fleet.Rows{}, redwinghall.NewOpError("Source.Changes", fleet.StoreHistoryGone, nil)
	}
	rows, err := s.call(time.Now(), table, func() (fleet.Rows, error) {
		return s.config.Store.Changes(ctx, table, after, s.boundedWait(wait))
	})
	if err == nil && rows.At.Era != after.Era {
		// Rows may be missing that were written again at versions up to after.
		err = redwinghall.NewOpError("Source.Changes", fleet.StoreHistoryGone, errOtherEra)
	}
	if redwinghall.KindOf[fleet.StoreKind](err) == fleet.StoreHistoryGone {
		return fleet.Rows{}, err // the store answered: those that follow this node wait for its list
	}
	if err != nil {
		s.Mirror(table).SetStoreUnreachable()
		return s.askOthers(table, staleAfter, err, changes)
	}
	s.avoidIfAway(peer, asked)
	return s.Mirror(table).ApplyChanges(time.Now(), after, rows), nil
}

// changesFrom takes changes in that the zone's reader passes on.
func (s *Source) changesFrom(peer Peer, table string, after fleet.Position, changes func(Peer) (Answer, error)) (fleet.Rows, error) {
	answer, err := s.ask(peer, table, staleAfter, changes)
	if err != nil {
		return fleet.Rows{}, err
	}
	news := s.Mirror(table).ApplyChanges(time.Now().Add(-answer.Age), after, answer.Rows)
	news.Relayed = true
	return news, nil
}

// Commit implements fleet.Store. A transaction that surely was not carried out
// goes by way of another node.
func (s *Source) Commit(ctx context.Context, txn fleet.Txn) (fleet.Position, error) {
	at, err := s.config.Store.Commit(ctx, txn)
	switch redwinghall.KindOf[fleet.StoreKind](err) {
	case "", fleet.StoreConflict:
		s.noteAnswer()
		s.noteEra(at)
		return at, err
	case fleet.StoreUnavailable:
	default:
		return at, err
	}
	peer, ok := s.helper(time.Now())
	if !ok {
		return at, err
	}
	at, helped := s.config.PeerClient.Commit(ctx, peer.Address, txn)
	if redwinghall.KindOf[fleet.StoreKind](helped) == fleet.StoreUnavailable {
		s.avoided.RecordFailure(time.Now(), peer.Name)
	}
	return at, helped
}

// CommitDirect carries out another node's transaction at the store itself.
func (s *Source) CommitDirect(ctx context.Context, txn fleet.Txn) (fleet.Position, error) {
	return s.config.Store.Commit(ctx, txn)
}

// noteEra notes the era of an answer.
//
// Guard: after the store came back older, some nodes still have what it held before. Who
// knows better must not take that for news.
func (s *Source) noteEra(at fleet.Position) {
	for {
		era := s.era.Load()
		if at.Era <= era || s.era.CompareAndSwap(era, at.Era) {
			return
		}
	}
}

func (s *Source) noteAnswer() { s.answered.Store(time.Now().UnixNano()) }

// away reports whether the store has not answered this node itself for a while.
func (s *Source) away() bool { return time.Since(time.Unix(0, s.answered.Load())) > awayAfter }

// askOthers reads from a node of another zone what this node can't read itself.
//
// Guard: some nodes may be turned away by the store, or be cut off from it,
// while others are not. Without help they would send requests to endpoints
// that left and to groups that closed, until the store answers them again.
func (s *Source) askOthers(table string, trust time.Duration, cause error, read func(Peer) (Answer, error)) (fleet.Rows, error) {
	peer, ok := s.helper(time.Now())
	if !ok {
		return fleet.Rows{}, cause
	}
	answer, err := s.ask(peer, table, trust, read)
	s.avoidIfAway(peer, err)
	if err == nil || redwinghall.KindOf[fleet.StoreKind](err) == fleet.StoreHistoryGone {
		return answer.Rows, err
	}
	return fleet.Rows{}, cause
}

// ask reads from another node, and avoids it for a while if its answer can't be
// used.
func (s *Source) ask(peer Peer, table string, trust time.Duration, read func(Peer) (Answer, error)) (Answer, error) {
	answer, err := read(peer)
	switch {
	case redwinghall.KindOf[fleet.StoreKind](err) == fleet.StoreHistoryGone:
		return Answer{}, err
	case err == nil && answer.Rows.At.Era < s.era.Load():
		err = redwinghall.NewOpError("Source.ask", fleet.StoreUnreachable, errEarlierEra)
	case err == nil && answer.Age <= trust:
		s.avoided.RecordSuccess(peer.Name)
		s.noteEra(answer.Rows.At)
		return answer, nil
	}
	klog.InfoS("reader_not_trusted", "reader", peer.Name, "table", table, "age", answer.Age, "err", err)
	if redwinghall.KindOf[fleet.StoreKind](err) == fleet.StoreUnreachable || err == nil {
		// It works, but the store doesn't answer it: perhaps nobody.
		return Answer{}, redwinghall.NewOpError("Source.ask", fleet.StoreUnreachable, err)
	}
	s.avoided.RecordFailure(time.Now(), peer.Name)
	return Answer{}, redwinghall.NewOpError("Source.ask", fleet.StoreUnavailable, err)
}

// boundedWait bounds how long the store may keep a reader waiting that others follow:
// its silence must show in time.
func (s *Source) boundedWait(wait time.Duration) time.Duration {
	if len(s.config.Peers()) > maxDirectReaders {
		return min(wait, readerWait)
	}
	return wait
}
