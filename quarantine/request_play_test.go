package quarantine_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/quarantine"
)

const (
	// maxRequestEnds is the users' limit for one request, and aimedLater how long after it one may still be sent.
	maxRequestEnds = 3
	aimedLater     = 500 * time.Millisecond
	// repeatPause is how long a caller waits until it sends its request again, whatever it was answered.
	repeatPause = 150 * time.Millisecond
)

// requireFewEnds checks what one request did.
func (p *play) requireFewEnds(t *testing.T, seed uint64) {
	t.Helper()
	require.NotEmpty(t, p.ends)
	require.LessOrEqual(t, len(p.ends), maxRequestEnds, "seed %d: processes that ended", seed)
	require.LessOrEqual(t, float64(p.refusedSound), 0.05*float64(p.sound), "seed %d: sound ones refused", seed)
}

// repeats sends a request each repeatPause at any node. parts returns those of the i-th try.
func (p *play) repeats(tries int, parts func(i int) []string) {
	for i := range tries {
		p.after(time.Duration(i)*repeatPause, func() { p.request(p.node(), true, 0, parts(i)...) })
	}
}

// Its caller repeats a request that ends endpoints, under new ids and at other nodes.
func TestPlayedRequestEndsFewEndpoints(t *testing.T) {
	t.Parallel()
	last, whole := quarantine.LastPart("own"), quarantine.WholeRequest("r")
	for _, size := range []struct{ zones, nodes int }{{3, 1}, {3, 12}, {16, 19}} {
		for name, parts := range map[string]func(i int) []string{
			"without parts":             func(int) []string { return []string{whole} },
			"with its last part":        func(int) []string { return []string{last, whole} },
			"with a sound shared part":  func(int) []string { return []string{"first-1", last, whole} },
			"with a byte changed a try": func(i int) []string { return []string{"first-1", last, quarantine.WholeRequest(fmt.Sprint(i))} },
			"with a rare shared part":   func(int) []string { return []string{"rare", last, whole} },
		} {
			t.Run(fmt.Sprintf("%d zones of %d/%s", size.zones, size.nodes, name), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(20) {
					p := newPlay(seed, size.zones, size.nodes)
					p.run(time.Second, p.soundLoad)
					p.repeats(30, parts)
					p.run(10*time.Second, p.soundLoad)
					p.requireFewEnds(t, seed)
				}
			})
		}
	}
}

// Equal requests of many callers, as an empty look-up, are at endpoints that end under another one.
func TestPlayedEqualRequestsBesideAnEndAreServed(t *testing.T) {
	t.Parallel()
	equal := quarantine.WholeRequest("look-up")
	for seed := range uint64(20) {
		p := newPlay(seed, 3, 4)
		load := func() {
			if p.random.Float64() < 0.04 {
				p.request(p.node(), false, 0, equal)
			}
		}
		p.run(time.Second, load)
		p.repeats(30, func(int) []string { return []string{quarantine.WholeRequest("bad")} })
		known := 0
		p.run(10*time.Second, func() {
			load()
			for ; known < len(p.ends); known++ {
				n := p.node()
				n.table.RecordEnd(quarantine.Suspect{
					Process: quarantine.Process{Endpoint: fmt.Sprint("engine-", known+1), StartedMillis: 1},
					Request: fmt.Sprint("beside-", known), Service: service, Parts: []string{equal}, At: p.now,
				})
				p.tell(n)
			}
		})
		p.requireFewEnds(t, seed)
	}
}

// A session goes on under the last part of its prompt, after one of its requests has ended endpoints.
func TestPlayedSessionGoesOnAfterABadRequest(t *testing.T) {
	t.Parallel()
	last := quarantine.LastPart("session")
	for seed := range uint64(20) {
		p := newPlay(seed, 3, 4)
		p.run(time.Second, p.soundLoad)
		p.repeats(10, func(int) []string { return []string{last, quarantine.WholeRequest("bad")} })
		p.run(3*time.Second, p.soundLoad)
		p.sound, p.refusedSound = 0, 0
		for i := range 20 {
			p.after(time.Duration(i)*300*time.Millisecond, func() { p.request(p.node(), false, 0, last, quarantine.WholeRequest(fmt.Sprint("sound-", i))) })
		}
		p.run(7*time.Second, func() {})
		require.Zero(t, p.refusedSound, "seed %d", seed)
		require.Equal(t, 20, p.sound, "seed %d", seed)
		p.requireFewEnds(t, seed)
	}
}

// Each request is new: what a table remembers of them stays bounded.
func TestNewRequestsTakeBoundedMemory(t *testing.T) {
	const requests, bound = 300_000, 8 << 20
	table := quarantine.NewTable()
	before := liveHeap()
	now := start
	for i := range requests {
		now = now.Add(time.Millisecond)
		parts := []string{quarantine.LastPart(fmt.Sprintf("%016x", i)), quarantine.WholeRequest(fmt.Sprintf("%032x", i))}
		table.RecordProven(now, service, parts[1:])
		if i%100 == 0 {
			table.RecordEnd(quarantine.Suspect{
				Process: quarantine.Process{Endpoint: fmt.Sprint("e", i), StartedMillis: 1}, Request: fmt.Sprint("r", i), Service: service, Parts: parts, At: now,
			})
		}
	}
	require.Less(t, liveHeap()-before, int64(bound))
	table.Forget(now.Add(time.Hour))
	require.False(t, table.IsSuspecting(), "what no caller repeats is forgotten")
}

func liveHeap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc) //nolint:gosec // far below the largest number
}

// An answer on one of several suspected parts reaches a node that missed it, as the others' tables differ then.
func TestAnswerOnOnePartReachesANodeThatMissedIt(t *testing.T) {
	t.Parallel()
	h, other := newHistory(), newHistory()
	h.end(false, "shared", quarantine.LastPart("own"))
	other.Merge(h.now, h.All(h.now))
	require.Equal(t, h.Digest(), other.Digest())
	h.pass(time.Second)
	h.prove("shared")
	h.pass(2 * time.Minute)
	h.Forget(h.now)
	require.NotEqual(t, h.Digest(), other.Digest())
	other.Merge(h.now, h.All(h.now))
	require.Equal(t, h.Digest(), other.Digest())
	require.Equal(t, quarantine.Send, other.Check(h.now, service, []string{"shared"}).Verdict)
}
