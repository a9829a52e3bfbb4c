package lend_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const playLength = 30 * time.Second

func inTime(z *playedZone) int    { return z.inTime }
func refused(z *playedZone) int   { return z.refused }
func sent(z *playedZone) int      { return z.sent }
func bytesSent(z *playedZone) int { return z.bytesSent }

// logPlay logs what callers got, by zone.
func logPlay(t *testing.T, name string, p *play) {
	t.Helper()
	t.Logf("%s: in time %.3f, refused %.3f, sent %d, %d KiB", name, p.shareOf(inTime), p.shareOf(refused), p.sum(sent), p.sum(bytesSent)/1024)
	for _, z := range p.zones {
		t.Logf("  %s: asked %d, in time %d, late %d, refused %d (%d unasked), sent %d (%d on loan), received %d, asked others %v", z.name, z.asked, z.inTime, z.late, z.refused, z.unlent, z.sent, z.onLoan, z.received, z.asks)
	}
}

func times(factors ...float64) func(int, time.Duration) float64 {
	return func(zone int, _ time.Duration) float64 { return factors[zone] * evenLoad }
}

// waves returns a load that swings by 55 in 100 within 15 s around a mean, by the phases of the zones.
func waves(mean float64, phases ...float64) func(int, time.Duration) float64 {
	return func(zone int, at time.Duration) float64 {
		return mean * evenLoad * (1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/15+phases[zone])))
	}
}

// One zone has twice its load, the others half of it: callers are served nearly as well as
// under even load, and little more crosses borders than the first zone lacks.
func TestZoneWithTwiceItsLoad(t *testing.T) {
	alone := scenario{way: nobodyLeaves, load: times(2, .5, .5), length: playLength}.run(1)
	each := scenario{way: eachAsks, load: times(2, .5, .5), length: playLength}.run(1)
	lent := scenario{way: zonesLend, load: times(2, .5, .5), length: playLength}.run(1)
	logPlay(t, "alone", alone)
	logPlay(t, "each asks", each)
	logPlay(t, "lent", lent)
	requireServedAsEven(t, lent)
	excess := alone.zones[0].asked - alone.zones[0].inTime
	perStream := float64(alone.zones[0].bytesAsked) / float64(alone.zones[0].asked)
	require.Less(t, float64(lent.sum(bytesSent)), 1.2*float64(excess)*perStream)
	requireOneBorder(t, lent)
}

// servedAsEven is the least share of requests served in time, against that under even load.
const servedAsEven = .95

func requireServedAsEven(t *testing.T, p *play) {
	t.Helper()
	even := scenario{way: zonesLend, load: times(1, 1, 1), length: playLength}.run(1)
	logPlay(t, "even", even)
	require.GreaterOrEqual(t, p.shareOf(inTime), servedAsEven*even.shareOf(inTime))
}

// requireOneBorder requires that no stream was carried over two borders.
func requireOneBorder(t *testing.T, p *play) {
	t.Helper()
	require.Zero(t, p.sum(func(z *playedZone) int { return z.twice }))
}

// Zones swing by 55 in 100 out of step: what one lacks another has.
func TestWavesOutOfStep(t *testing.T) {
	load := waves(1.1, 0, 1./3, 2./3)
	each := scenario{way: eachAsks, load: load, length: playLength}.run(1)
	lent := scenario{way: zonesLend, load: load, length: playLength}.run(1)
	logPlay(t, "each asks", each)
	logPlay(t, "lent", lent)
	requireServedAsEven(t, lent)
	requireOneBorder(t, lent)
}

// Zones swing by 55 in 100 in step: all are short together, and nothing is gained by sending
// streams to and fro.
func TestWavesInStep(t *testing.T) {
	load := waves(1.2, 0, 0, 0)
	each := scenario{way: eachAsks, load: load, length: playLength}.run(1)
	lent := scenario{way: zonesLend, load: load, length: playLength}.run(1)
	logPlay(t, "each asks", each)
	logPlay(t, "lent", lent)
	for _, z := range lent.zones {
		require.LessOrEqual(t, z.sent, z.received, z.name)
	}
	require.LessOrEqual(t, lent.shareOf(refused), each.shareOf(refused))
	requireOneBorder(t, lent)
}

// A zone is evacuated: its callers are served by the others as before, and come back with it.
func TestZoneGone(t *testing.T) {
	gone := func(zone int, at time.Duration) bool { return zone == 1 && at > 8*time.Second && at < 18*time.Second }
	each := scenario{way: eachAsks, load: times(.8, .8, .8), length: playLength, out: gone}.run(1)
	lent := scenario{way: zonesLend, load: times(.8, .8, .8), length: playLength, out: gone}.run(1)
	logPlay(t, "each asks", each)
	logPlay(t, "lent", lent)
	requireServedAsEven(t, lent)
	requireOneBorder(t, lent)
}

// A third of a zone's endpoints are three times slower: the zone has less room than it seems.
func TestThirdOfAZoneSlow(t *testing.T) {
	load := times(1.4, 1, 1)
	each := scenario{way: eachAsks, load: load, length: playLength, slowShare: 1. / 3, slowdown: 3}.run(1)
	lent := scenario{way: zonesLend, load: load, length: playLength, slowShare: 1. / 3, slowdown: 3}.run(1)
	logPlay(t, "each asks", each)
	logPlay(t, "lent", lent)
	requireServedAsEven(t, lent)
	requireOneBorder(t, lent)
}

// One zone has enough room: it asks for none, sends nothing, and nobody asks it.
func TestEnoughRoomChangesNothing(t *testing.T) {
	before := scenario{way: nobodyLeaves, load: times(.8, .8, .8), length: playLength}.run(1)
	lent := scenario{way: zonesLend, load: times(.8, .8, .8), length: playLength}.run(1)
	logPlay(t, "lent", lent)
	require.Zero(t, lent.sum(sent))
	require.Equal(t, before.sum(inTime), lent.sum(inTime))
	for _, z := range lent.zones {
		require.Empty(t, z.asks, z.name)
	}
}
