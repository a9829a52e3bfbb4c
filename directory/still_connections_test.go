package directory_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/relay"
)

const (
	// inForceWithin is the users' bound for a version, from its acknowledgement to its effect at every node.
	inForceWithin = 2 * time.Second
	// readTimeout and relayTimeout are the clients' timeouts of a call to the store and to another node, beyond its wait.
	readTimeout  = 900 * time.Millisecond
	relayTimeout = 500 * time.Millisecond
	// stillPlay is how long the nodes read before the connections stand still.
	stillPlay = 5 * time.Second
)

// pipe stands for the open connections of one node to one other process. Once they stand still nothing comes over
// them any more; a call that fails closes them, so that the next one opens a new connection.
type pipe struct {
	still chan struct{}
	dead  bool // new connections stand still too
}

func newPipe() *pipe { return &pipe{still: make(chan struct{})} }

func (p *pipe) isStill() bool {
	select {
	case <-p.still:
		return true
	default:
		return false
	}
}

// stop makes the open connections stand still.
func (p *pipe) stop() {
	if !p.isStill() {
		close(p.still)
	}
}

var errStill = redwinghall.NewOpError("pipe.call", fleet.StoreOutcomeUnknown, context.DeadlineExceeded)

// callOver makes a call that takes at most timeout. What is returned after the connection stands still is lost.
func callOver[T any](ctx context.Context, p *pipe, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	still := p.still
	if !p.isStill() {
		out, err := call(ctx)
		if still == p.still && !p.isStill() {
			return out, err
		}
	}
	<-ctx.Done()
	if !p.dead {
		p.still = make(chan struct{})
	}
	var none T
	return none, errStill
}

// pipedStore is a store as one node reaches it.
type pipedStore struct {
	*quietStore
	pipe *pipe
}

func (s pipedStore) List(ctx context.Context, table string) (fleet.Rows, error) {
	return callOver(ctx, s.pipe, readTimeout, func(ctx context.Context) (fleet.Rows, error) { return s.quietStore.List(ctx, table) })
}

func (s pipedStore) Changes(ctx context.Context, table string, after fleet.Position, wait time.Duration) (fleet.Rows, error) {
	return callOver(ctx, s.pipe, wait+readTimeout, func(ctx context.Context) (fleet.Rows, error) { return s.quietStore.Changes(ctx, table, after, wait) })
}

// pipedPeers are the other nodes as one node reaches them.
type pipedPeers struct {
	sources
	pipes map[string]*pipe
}

func (c pipedPeers) List(ctx context.Context, address, table string) (relay.Answer, error) {
	return callOver(ctx, c.pipes[address], relayTimeout, func(ctx context.Context) (relay.Answer, error) { return c.sources.List(ctx, address, table) })
}

func (c pipedPeers) Changes(ctx context.Context, address, table string, after fleet.Position, wait time.Duration) (relay.Answer, error) {
	return callOver(ctx, c.pipes[address], wait+relayTimeout, func(ctx context.Context) (relay.Answer, error) {
		return c.sources.Changes(ctx, address, table, after, wait)
	})
}

// pipedNode is a node whose connections can stand still.
type pipedNode struct {
	name  string
	cache *directory.Cache
	store *pipe
	peers map[string]*pipe
}

// startPipedZone starts the followers of a zone. Its nodes read from n0 if there are more than a few.
func startPipedZone(t *testing.T, store *quietStore, count int) ([]*pipedNode, func()) {
	t.Helper()
	var peers []relay.Peer
	for i := range count {
		peers = append(peers, relay.Peer{Name: fmt.Sprint("n", i), Address: fmt.Sprint("n", i)})
	}
	all := sources{}
	var nodes []*pipedNode
	g := kernel.NewGroup(context.Background())
	for _, self := range peers {
		n := &pipedNode{name: self.Name, cache: directory.NewCache(), store: newPipe(), peers: map[string]*pipe{}}
		for _, peer := range peers {
			n.peers[peer.Address] = newPipe()
		}
		all[self.Address] = relay.NewSource(relay.Config{
			Store: pipedStore{store, n.store}, PeerClient: pipedPeers{all, n.peers}, Self: self.Name, Peers: func() []relay.Peer { return peers },
			RemotePeers: func() []relay.Peer { return nil }, Leader: func() string { return "n0" },
			EqualFor: func(string) relay.EqualValues { return nil },
		})
		nodes = append(nodes, n)
	}
	for i, n := range nodes {
		time.Sleep(time.Duration(i*13) * time.Millisecond)
		directory.NewFollower(all[n.name], n.cache, nil).Start(g)
	}
	return nodes, func() {
		g.Stop()
		require.NoError(t, g.Wait())
	}
}

// stillConnections are the connections that stand still, by name.
var stillConnections = map[string]func(nodes []*pipedNode){
	"to the store": func(nodes []*pipedNode) {
		for _, n := range nodes {
			n.store.stop()
		}
	},
	"all": func(nodes []*pipedNode) {
		for _, n := range nodes {
			n.store.stop()
			for _, p := range n.peers {
				p.stop()
			}
		}
	},
	"the reader's": func(nodes []*pipedNode) {
		nodes[0].store.stop()
		for _, n := range nodes {
			n.peers["n0"].stop()
		}
	},
	"the reader's for good": func(nodes []*pipedNode) {
		nodes[0].store.stop()
		nodes[0].store.dead = true
		for _, n := range nodes {
			n.peers["n0"].stop()
			n.peers["n0"].dead = true
		}
	},
}

// lateNode is a node at which a version came into force late.
type lateNode struct {
	name  string
	phase time.Duration
	after time.Duration // the acknowledgement
}

func (n lateNode) String() string {
	return fmt.Sprintf("%s after %s (phase %s)", n.name, n.after, n.phase)
}

// lateNodes plays with connections that stand still phase into the reads, as a version is acknowledged.
func lateNodes(t *testing.T, count int, phase time.Duration, stop func([]*pipedNode)) (late []lateNode) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := newQuietStore(4 * time.Millisecond)
		store.configure(1)
		nodes, end := startPipedZone(t, store, count)
		defer end()
		time.Sleep(stillPlay + phase)
		stop(nodes)
		store.configure(2)
		if nodes[0].store.dead {
			nodes = nodes[1:]
		}
		acked := time.Now()
		for after := time.Duration(0); len(nodes) > 0; after = time.Since(acked) {
			nodes = slices.DeleteFunc(nodes, func(n *pipedNode) bool {
				done := n.cache.View().Config().Version == 2 || after > 5*inForceWithin
				if done && after > inForceWithin {
					late = append(late, lateNode{n.name, phase, after})
				}
				return done
			})
			time.Sleep(10 * time.Millisecond)
		}
	})
	return late
}

// Open connections fall silent as a version is acknowledged, and nodes go on refusing what it allows.
func TestVersionIsInForceAlthoughConnectionsStandStill(t *testing.T) {
	t.Parallel()
	const phases, phaseStep = 20, 110 * time.Millisecond
	for _, count := range []int{2, 3, 4, 8, 17} {
		for name, stop := range stillConnections {
			t.Run(fmt.Sprintf("%d nodes/%s", count, name), func(t *testing.T) {
				t.Parallel()
				var late []lateNode
				for i := range phases {
					late = append(late, lateNodes(t, count, time.Duration(i)*phaseStep, stop)...)
				}
				slices.SortFunc(late, func(a, b lateNode) int { return cmp.Compare(b.after, a.after) })
				require.Empty(t, late[:min(len(late), 3)], "%d late in all; the latest ones", len(late))
			})
		}
	}
}
