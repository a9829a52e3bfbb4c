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
	"redwinghall/kernel"
)

// Limits that decide which nodes read the store, and when the other nodes stop using a
// reader.
const (
	// maxDirectReaders is the largest number of nodes with which a zone needs no reader.
	// Up to it, every node reads the store itself: those calls cost less than the failure
	// of a reader would cost the other nodes.
	maxDirectReaders = 3
	// maxWithoutRelays is the largest number of nodes of a zone that all read from its reader.
	maxWithoutRelays = 40
	// relayTime is how much older the copy of a relay may be than that of the zone's reader.
	relayTime = 300 * time.Millisecond
	// staleAfter is the age from which changes read from another node are rejected. Without
	// the limit, a reader that lost its connection to the store would keep the others from
	// rows that they could read themselves, and new configurations would apply late.
	staleAfter = 1200 * time.Millisecond
	// listStaleAfter is the same limit for lists of a polled table. It is above the polling interval.
	listStaleAfter = 4 * time.Second
	// readerWait is the longest wait of a reader for changes from the store. It detects a
	// store that stopped responding after readerWait and the timeout of the call.
	readerWait = 700 * time.Millisecond
	// confirmAfter is the age of a reader's copy at which its wait for changes ends, so that the
	// store confirms a table without changes before the copy is stale. The difference to
	// staleAfter is for a call that has to be repeated, the store's answer and its way to the other nodes.
	confirmAfter = staleAfter - answerPatience - 100*time.Millisecond
	// peerWait is the longest wait of a node for changes from its reader. A reader that
	// stopped responding is detected after peerWait and the timeout of the call.
	peerWait = 700 * time.Millisecond
	// unreachableAfter is the time without an answer from the store after which a node that
	// can't read it relies on other nodes: it requests changes even if its own copy has a gap.
	unreachableAfter = 3 * time.Second
	// probeInterval is the shortest time between two calls to a store that failed to answer
	// a node. It doesn't apply to the zone's reader, which keeps calling and through which
	// the other nodes notice that the store has recovered. The interval is at least
	// probePerNode for each node of the zone, because the calls of all nodes add up.
	probeInterval = 1500 * time.Millisecond
	probePerNode  = 100 * time.Millisecond
	probeJitter   = 0.33 // fraction of the interval
	// regainTime is how long after the store has answered this node again the zone's reader may
	// take to notice that. Until then it isn't skipped for not reaching the store.
	regainTime = time.Second
	// backoffInitial is how long a reader that failed is not called; each further failure
	// doubles the delay up to backoffMaximum.
	backoffInitial = 3 * time.Second
	backoffMaximum = 30 * time.Second
)

// PeerClient reads tables from other nodes, and commits transactions through them.
type PeerClient interface {
	List(ctx context.Context, address, table string) (Answer, error)
	Changes(ctx context.Context, address, table string, after fleet.Position, wait time.Duration) (Answer, error)
	Commit(ctx context.Context, address string, txn fleet.Txn) (fleet.Position, error)
}

// Config configures a Source.
type Config struct {
	Store      fleet.Store
	PeerClient PeerClient
	Self       string // name of this node
	// Peers returns the nodes of this zone, this one included; RemotePeers returns the
	// nodes of the other zones.
	Peers, RemotePeers func() []Peer
	// Leader returns the name of the node that forms the zone's groups, if it is known.
	Leader func() string
	// EqualFor returns how values of a table's rows are compared; nil means that every
	// write counts as a change.
	EqualFor func(table string) EqualValues
	// Polled reports whether a table is only listed, again and again; nil if none is. A list of it may be older than
	// one of a table whose changes are followed.
	Polled func(table string) bool
}

// Source is a fleet.Store whose tables are read by one node of the zone on behalf of all,
// as long as that node works. Transactions are sent directly to the store.
//
// The reader is the node that forms the zone's groups, so that it is the first to see the
// effects of its orders. After it come the zone's other nodes in the order of RankPeers. A
// node skips a reader that doesn't respond or returns stale rows, so the next one takes
// its place. Each node keeps the rows that it received, so as a reader it continues from
// their position. In a large zone, some nodes pass on to the others what they read from the reader.
//
// The reads of the store thus grow with the number of zones, not of nodes.
type Source struct {
	config Config

	backoff *PeerBackoff
	mu      sync.Mutex
	mirrors map[string]*Mirror
	// lastAnswer is when the store last answered a call of this node, in Unix nanoseconds.
	lastAnswer atomic.Int64
	// era is the newest era of the store that this node has seen.
	era atomic.Int64
	// regainedAt is when the store first answered this node again after it had not.
	regainedAt time.Time
	// probeAt is, by table, the earliest time of the next call after the store failed to answer.
	probeAt map[string]time.Time
}

var _ fleet.Store = (*Source)(nil)

// NewSource returns a source whose mirrors are empty.
func NewSource(config Config) *Source {
	return &Source{
		config: config, backoff: NewPeerBackoff(backoffInitial, backoffMaximum), mirrors: map[string]*Mirror{}, probeAt: map[string]time.Time{},
	}
}

// Mirror returns this node's copy of a table.
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
	list := func(peer Peer) (Answer, error) {
		answer, err := s.config.PeerClient.List(ctx, peer.Address, table)
		if err == nil {
			err = s.checkNotOlder(table, answer.Rows.At)
		}
		return answer, err
	}
	maxAge := s.maxListAge(table)
	peer, useReader := s.reader(time.Now())
	var readerErr error
	if useReader {
		var answer Answer
		if answer, readerErr = s.readFromPeer(peer, table, maxAge, list); readerErr == nil {
			s.Mirror(table).ApplyList(time.Now().Add(-answer.Age), answer.Rows)
			answer.Rows.Age = answer.Age
			return answer.Rows, nil
		}
	}
	rows, err := s.callStore(time.Now(), table, func() (fleet.Rows, error) { return s.config.Store.List(ctx, table) })
	if err != nil {
		s.Mirror(table).SetStoreUnreachable()
		return s.readFromFallback(peer, table, maxAge, err, list)
	}
	s.recordReader(time.Now(), peer, readerErr)
	if err := s.checkNotOlder(table, rows.At); err != nil {
		return fleet.Rows{}, err
	}
	s.Mirror(table).ApplyList(time.Now(), rows)
	return rows, nil
}

// maxListAge returns the age from which a list of a table that was read from another node is rejected.
func (s *Source) maxListAge(table string) time.Duration {
	if s.config.Polled != nil && s.config.Polled(table) {
		return listStaleAfter
	}
	return staleAfter
}

// checkNotOlder returns an error if a list at a position is older than this node's copy of the table. The other node
// may be behind, and the store may answer from an older copy for some time after it has dropped its history.
func (s *Source) checkNotOlder(table string, at fleet.Position) error {
	if !s.Mirror(table).isNewer(at) {
		return nil
	}
	return redwinghall.NewOpError("Source.List", fleet.StoreUnavailable, errOlderList)
}

var errOlderList = errors.New("the list is older than this node's copy")

// callStore calls the store, unless it recently failed to answer this node.
//
// In an outage no reader has rows to pass on. Without the limit, every node would keep
// calling the store, and the calls of all nodes would overload it when it recovers.
func (s *Source) callStore(now time.Time, table string, read func() (fleet.Rows, error)) (fleet.Rows, error) {
	if !s.mayCallStore(now, table) {
		return fleet.Rows{}, redwinghall.NewOpError("Source.callStore", fleet.StoreUnreachable, errStoreBackoff)
	}
	rows, err := read()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch redwinghall.KindOf[fleet.StoreKind](err) {
	case "", fleet.StoreHistoryGone:
		if _, failed := s.probeAt[table]; failed {
			s.regainedAt = time.Now()
		}
		delete(s.probeAt, table)
		s.recordAnswer()
		s.recordEra(rows.At)
	default:
		s.probeAt[table] = time.Now().Add(s.nextProbeInterval())
	}
	return rows, err
}

// nextProbeInterval returns the time, with random jitter, until this node calls the store
// again after a call that was not answered.
func (s *Source) nextProbeInterval() time.Duration {
	pause := max(probeInterval, time.Duration(len(s.config.Peers()))*probePerNode)
	return pause + time.Duration(probeJitter*rand.Float64()*float64(pause))
}

var errOtherEra = errors.New("the changes belong to another era of the store")

var errStoreBackoff = errors.New("not calling the store: it recently did not answer this node")

// mayCallStore reports whether this node may call the store. The zone's reader always may,
// another node only if the store didn't recently fail to answer it.
func (s *Source) mayCallStore(now time.Time, table string) bool {
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
		return waitTwice(ctx, targetPeer, table, s.peerWait(time.Now(), table, wait), func(ctx context.Context, wait time.Duration) (Answer, error) {
			return s.config.PeerClient.Changes(ctx, peer.Address, table, after, wait)
		})
	}
	peer, useReader := s.reader(time.Now())
	var readerErr error
	if useReader {
		var rows fleet.Rows
		rows, readerErr = s.changesFromPeer(peer, table, after, changes)
		if readerErr == nil || redwinghall.KindOf[fleet.StoreKind](readerErr) == fleet.StoreHistoryGone {
			return rows, readerErr
		}
	} else if !s.storeUnreachable() && !s.Mirror(table).Continues(after) {
		// Other nodes will read from this one, so it needs the full table first.
		return fleet.Rows{}, redwinghall.NewOpError("Source.Changes", fleet.StoreHistoryGone, nil)
	}
	rows, err := s.callStore(time.Now(), table, func() (fleet.Rows, error) {
		return waitTwice(ctx, targetStore, table, s.limitWait(time.Now(), table, wait), func(ctx context.Context, wait time.Duration) (fleet.Rows, error) {
			return s.config.Store.Changes(ctx, table, after, wait)
		})
	})
	if err == nil && rows.At.Era != after.Era {
		// The new era may have written rows at versions up to after, which the answer lacks.
		err = redwinghall.NewOpError("Source.Changes", fleet.StoreHistoryGone, errOtherEra)
	}
	if redwinghall.KindOf[fleet.StoreKind](err) == fleet.StoreHistoryGone {
		return fleet.Rows{}, err // the store answered: the mirror isn't marked unreachable, and nodes that read it wait for the next list
	}
	if err != nil {
		s.Mirror(table).SetStoreUnreachable()
		return s.readFromFallback(peer, table, staleAfter, err, changes)
	}
	s.recordReader(time.Now(), peer, readerErr)
	return s.Mirror(table).ApplyChanges(time.Now(), after, rows), nil
}

// changesFromPeer reads changes from the zone's reader and applies them to the mirror.
func (s *Source) changesFromPeer(peer Peer, table string, after fleet.Position, changes func(Peer) (Answer, error)) (fleet.Rows, error) {
	answer, err := s.readFromPeer(peer, table, staleAfter, changes)
	if err != nil {
		return fleet.Rows{}, err
	}
	updates := s.Mirror(table).ApplyChanges(time.Now().Add(-answer.Age), after, answer.Rows)
	updates.Relayed, updates.Age = true, answer.Age
	return updates, nil
}

// Commit implements fleet.Store. A transaction that was certainly not carried out is
// retried through another node.
func (s *Source) Commit(ctx context.Context, txn fleet.Txn) (fleet.Position, error) {
	at, err := s.config.Store.Commit(ctx, txn)
	switch redwinghall.KindOf[fleet.StoreKind](err) {
	case "", fleet.StoreConflict:
		s.recordAnswer()
		s.recordEra(at)
		return at, err
	case fleet.StoreUnavailable:
	default:
		return at, err
	}
	peer, ok := s.fallbackPeer(time.Now(), "")
	if !ok {
		return at, err
	}
	at, peerErr := s.config.PeerClient.Commit(ctx, peer.Address, txn)
	if redwinghall.KindOf[fleet.StoreKind](peerErr) == fleet.StoreUnavailable {
		s.backoff.RecordFailure(time.Now(), peer.Name)
	}
	return at, peerErr
}

// CommitDirect commits another node's transaction at the store, without a fallback.
func (s *Source) CommitDirect(ctx context.Context, txn fleet.Txn) (fleet.Position, error) {
	return s.config.Store.Commit(ctx, txn)
}

// recordEra records the era of an answer if it is the newest so far.
//
// After the store was restored from an older copy, some nodes still hold rows of the
// earlier era. A node that knows the newer era must not accept those as current.
func (s *Source) recordEra(at fleet.Position) {
	for {
		era := s.era.Load()
		if at.Era <= era || s.era.CompareAndSwap(era, at.Era) {
			return
		}
	}
}

func (s *Source) recordAnswer() { s.lastAnswer.Store(time.Now().UnixNano()) }

// storeUnreachable reports whether the store has not answered this node for unreachableAfter.
func (s *Source) storeUnreachable() bool {
	return kernel.RunTime(time.Unix(0, s.lastAnswer.Load()), time.Now()) > unreachableAfter
}

// readFromFallback reads from another node, of this zone or another, what this node
// failed to read from the store. It returns cause if that fails too.
//
// The store may refuse some nodes, or a network failure may cut them off, while other
// nodes still reach it. Without the fallback they would send requests to endpoints that
// left and to groups that closed, until the store answers them again.
//
// The reader has just been asked and is asked again at the next read, so that its return is noticed at once.
func (s *Source) readFromFallback(reader Peer, table string, maxAge time.Duration, cause error, read func(Peer) (Answer, error)) (fleet.Rows, error) {
	peer, ok := s.fallbackPeer(time.Now(), reader.Name)
	if !ok {
		return fleet.Rows{}, cause
	}
	answer, err := s.readFromPeer(peer, table, maxAge, read)
	s.recordUnreachable(peer, err)
	if err == nil || redwinghall.KindOf[fleet.StoreKind](err) == fleet.StoreHistoryGone {
		answer.Rows.Age = answer.Age
		return answer.Rows, err
	}
	return fleet.Rows{}, cause
}

// readFromPeer reads from another node. It rejects an answer that is older than maxAge or
// from an earlier era, and puts a node that failed in backoff.
func (s *Source) readFromPeer(peer Peer, table string, maxAge time.Duration, read func(Peer) (Answer, error)) (Answer, error) {
	begun := time.Now()
	answer, err := read(peer)
	switch {
	case redwinghall.KindOf[fleet.StoreKind](err) == fleet.StoreHistoryGone:
		return Answer{}, err
	case err == nil && answer.Rows.At.Era < s.era.Load():
		err = redwinghall.NewOpError("Source.readFromPeer", fleet.StoreUnreachable, errEarlierEra)
	case err == nil && answer.Age <= maxAge:
		s.backoff.RecordSuccess(peer.Name)
		s.recordEra(answer.Rows.At)
		return answer, nil
	}
	klog.InfoS("reader_not_trusted", "reader", peer.Name, "table", table, "age", answer.Age, "took", time.Since(begun), "err", err)
	if redwinghall.KindOf[fleet.StoreKind](err) == fleet.StoreUnreachable || err == nil {
		// The node works but its copy is out of date; the store may be unreachable for all nodes.
		return Answer{}, redwinghall.NewOpError("Source.readFromPeer", fleet.StoreUnreachable, err)
	}
	s.backoff.RecordFailure(time.Now(), peer.Name)
	return Answer{}, redwinghall.NewOpError("Source.readFromPeer", fleet.StoreUnavailable, err)
}

// limitWait limits how long a reader on which other nodes depend waits for the store, so
// that a store that stopped responding is detected in time, and a quiet table is confirmed
// before the copy is stale.
//
// Tables are read at intervals. A wait that didn't depend on the copy's age would let a copy
// become stale whenever a change came early in an interval and none followed, and all nodes
// of the zone would read the store themselves at that moment.
func (s *Source) limitWait(now time.Time, table string, wait time.Duration) time.Duration {
	nodes := len(s.config.Peers())
	if nodes <= maxDirectReaders {
		return wait
	}
	confirm := confirmAfter
	if relayCount(nodes) > 0 {
		confirm -= relayTime
	}
	return max(0, min(wait, readerWait, confirm-s.Mirror(table).age(now)))
}
