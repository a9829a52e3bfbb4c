package claim_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/claim"
	"redwinghall/kernel"
	"redwinghall/standin/table"
)

const (
	key   = "claim/hauliers/rental-desk/deposit-1"
	hash  = "body"
	bound = time.Minute
)

// bench is one table and the keepers of two routers before it.
type bench struct {
	table    *table.Table
	one, two *claim.Keeper
}

// newBench starts the keepers. Outcomes are tried again every millisecond.
func newBench(t *testing.T) bench {
	t.Helper()
	tab := table.New()
	g := kernel.NewGroup(context.Background())
	start := func(router string) *claim.Keeper {
		k := claim.NewKeeper(claim.Config{Router: router, MaxAttemptTime: bound, RetryInterval: time.Millisecond}, tab, claim.NoTakeover{})
		k.Run(g)
		return k
	}
	b := bench{table: tab, one: start("router-tartu-1"), two: start("router-parnu-1")}
	t.Cleanup(func() {
		g.Stop()
		require.NoError(t, g.Wait())
	})
	return b
}

func settled(t *testing.T, k *claim.Keeper) {
	t.Helper()
	require.Eventually(t, func() bool { return k.PendingOutcomes() == 0 }, 10*time.Second, time.Millisecond)
}

func claimed(t *testing.T, k *claim.Keeper, now time.Time) claim.Attempt {
	t.Helper()
	a, err := k.Claim(t.Context(), now, key, hash)
	require.NoError(t, err)
	return a
}

// A haulier pays one deposit twice: the app sent its retry while the first
// request was on its way, through a router of another zone.
// Order: two routers claim the key at the same moment.
// Cause: each looked first and then acted.
func TestTwoRoutersAtOnceOneProceeds(t *testing.T) {
	b := newBench(t)
	now := time.Now()
	verdicts := make(chan claim.Verdict, 2)
	g := kernel.NewGroup(t.Context())
	for _, k := range []*claim.Keeper{b.one, b.two} {
		g.Go("claim", func(ctx context.Context) error {
			a, err := k.Claim(ctx, now, key, hash)
			verdicts <- a.Verdict
			return err
		})
	}
	require.NoError(t, g.Wait())
	require.ElementsMatch(t, []claim.Verdict{claim.Proceed, claim.InProgress},
		[]claim.Verdict{<-verdicts, <-verdicts})
}

func TestVerdictFollowsOutcome(t *testing.T) {
	tests := []struct {
		name   string
		finish func(*claim.Keeper, claim.Attempt)
		body   string
		later  time.Duration
		want   claim.Verdict
	}{
		{"ran", func(k *claim.Keeper, a claim.Attempt) { k.RecordRan(a, redwinghall.Answer{Status: 200}) }, hash, 0, claim.Replay},
		{"sent without an answer", func(k *claim.Keeper, a claim.Attempt) { k.RecordUnknown(a) }, hash, 0, claim.Unknown},
		{"released", func(k *claim.Keeper, a claim.Attempt) { k.Release(a) }, hash, 0, claim.Proceed},
		{"held", func(*claim.Keeper, claim.Attempt) {}, hash, 0, claim.InProgress},
		{"held for longer than an attempt lasts", func(*claim.Keeper, claim.Attempt) {}, hash, bound + time.Second, claim.Unknown},
		{"another body", func(*claim.Keeper, claim.Attempt) {}, "other", 0, claim.KeyReused},
		{"another body after a release", func(k *claim.Keeper, a claim.Attempt) { k.Release(a) }, "other", 0, claim.KeyReused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			now := time.Now()
			tt.finish(b.one, claimed(t, b.one, now))
			settled(t, b.one)
			a, err := b.two.Claim(t.Context(), now.Add(tt.later), key, tt.body)
			require.NoError(t, err)
			require.Equal(t, tt.want, a.Verdict)
		})
	}
}

// A deposit hangs as "in progress" for good although nobody runs it.
// Order: the claim is written; its answer is lost; the router looks.
// Cause: the router took its own claim for another's.
func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	b := newBench(t)
	b.table.SetFaults(table.Faults{LoseAnswers: 1})
	require.Equal(t, claim.Proceed, claimed(t, b.one, time.Now()).Verdict)
}

// A driver is told "not run", tries again, and is blocked by a ghost.
// Order: the claim is delayed on the way; the router finds no row and gives
// up; the delayed claim lands after that.
// Cause: absence was taken for a free key.
func TestLateClaimCannotLandAfterRefusal(t *testing.T) {
	b := newBench(t)
	b.table.SetFaults(table.Faults{LateWrites: 1})
	_, err := b.one.Claim(t.Context(), time.Now(), key, hash)
	require.Equal(t, claim.Lost, redwinghall.KindOf[claim.Kind](err))
	settled(t, b.one)
	require.Zero(t, b.table.LandLate(), "the late claim must find the row taken")
	require.Equal(t, claim.Proceed, claimed(t, b.two, time.Now()).Verdict)
}

// The same ghost over a key that was released before.
// Order: a first attempt releases the key; the second attempt's claim is
// delayed, given up, and lands late on the released row.
// Cause: the release found another attempt's release and thought it was done.
func TestLateClaimOverReleasedRow(t *testing.T) {
	b := newBench(t)
	b.one.Release(claimed(t, b.one, time.Now()))
	settled(t, b.one)
	b.table.SetFaults(table.Faults{Skip: 1, LateWrites: 1}) // the blind insert fails, the claim over the release is late
	_, err := b.two.Claim(t.Context(), time.Now(), key, hash)
	require.Error(t, err)
	settled(t, b.two)
	require.Zero(t, b.table.LandLate())
	require.Equal(t, claim.Proceed, claimed(t, b.one, time.Now()).Verdict)
}

// Before dawn the table is down; depots wait for an answer that cannot come.
// Order: the table refuses; claims arrive; the table comes back.
// Cause: each request waited for the outage on its own.
func TestTableDownRefusesAtOnceAndRecovers(t *testing.T) {
	b := newBench(t)
	b.table.SetFaults(table.Faults{Down: true})
	for range 3 {
		_, err := b.one.Claim(t.Context(), time.Now(), key, hash)
		require.Equal(t, claim.Unavailable, redwinghall.KindOf[claim.Kind](err))
	}
	require.LessOrEqual(t, b.one.Writer().Counts().Transactions, uint64(1), "the table is not asked for each request")
	b.table.SetFaults(table.Faults{})
	require.Eventually(t, func() bool {
		a, err := b.one.Claim(t.Context(), time.Now(), key, hash)
		return err == nil && a.Verdict == claim.Proceed
	}, 10*time.Second, 10*time.Millisecond)
}

// A depot clerk waits in front of a silent screen.
// Order: the table takes the connection and never answers; the request's
// time ends. Cause: the claim waited for the table without an end.
func TestSilentTableEndsWithTheRequest(t *testing.T) {
	b := newBench(t)
	b.table.SetFaults(table.Faults{Silent: true})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := b.one.Claim(ctx, time.Now(), key, hash)
	require.Equal(t, claim.Lost, redwinghall.KindOf[claim.Kind](err))
	b.table.SetFaults(table.Faults{})
	settled(t, b.one)
	require.Equal(t, claim.Proceed, claimed(t, b.two, time.Now()).Verdict)
}

// A return that ran is not found when its customer asks.
// Order: the call runs; the table goes down before the outcome is recorded;
// it comes back. Cause: the outcome was tried once.
func TestOutcomeIsRecordedAfterAnOutage(t *testing.T) {
	b := newBench(t)
	a := claimed(t, b.one, time.Now())
	b.table.SetFaults(table.Faults{Down: true})
	b.one.RecordRan(a, redwinghall.Answer{Status: 201, Body: []byte("ok")})
	b.table.SetFaults(table.Faults{})
	settled(t, b.one)
	found := claimed(t, b.two, time.Now())
	require.Equal(t, claim.Replay, found.Verdict)
	require.Equal(t, 201, found.Claim.Answer.Status)
}

// Many bookings at once must not spend the table's several hundred writes.
func TestConcurrentClaimsShareTransactions(t *testing.T) {
	b := newBench(t)
	b.table.SetFaults(table.Faults{Latency: redwinghall.Duration(5 * time.Millisecond)})
	const claims = 100
	g := kernel.NewGroup(t.Context())
	for i := range claims {
		g.Go("claim", func(ctx context.Context) error {
			k := redwinghall.ClaimKey("hauliers", "rental-desk", string(rune('a'+i%26))+string(rune('a'+i/26)))
			a, err := b.one.Claim(ctx, time.Now(), k, hash)
			if err == nil && a.Verdict != claim.Proceed {
				t.Errorf("claim %d: verdict %d", i, a.Verdict)
			}
			return err
		})
	}
	require.NoError(t, g.Wait())
	counts := b.one.Writer().Counts()
	require.Equal(t, uint64(claims), counts.Rows)
	require.Less(t, counts.Transactions, uint64(claims/2))
}

// A key in conflict must not fail the bookings that share its transaction.
func TestConflictSparesTheRestOfTheBatch(t *testing.T) {
	b := newBench(t)
	claimed(t, b.two, time.Now())
	b.table.SetFaults(table.Faults{Latency: redwinghall.Duration(5 * time.Millisecond)})
	g := kernel.NewGroup(t.Context())
	for _, k := range []string{"claim/a/b/1", key, "claim/a/b/2", "claim/a/b/3"} {
		g.Go("claim", func(ctx context.Context) error {
			a, err := b.one.Claim(ctx, time.Now(), k, hash)
			want := claim.Proceed
			if k == key {
				want = claim.InProgress
			}
			if err == nil && a.Verdict != want {
				t.Errorf("%s: verdict %d", k, a.Verdict)
			}
			return err
		})
	}
	require.NoError(t, g.Wait())
}

// A caller is told "not run" while the call leaves.
// Order: the deadline and the sending happen at the same moment.
// Cause: they were two separate looks at the clock.
func TestLatchSendsOrRefusesNeverBoth(t *testing.T) {
	for range 2000 {
		latch := &claim.Latch{}
		var sent, refused bool
		g := kernel.NewGroup(t.Context())
		g.Go("send", func(context.Context) error { sent = latch.Dispatch(); return nil })
		g.Go("refuse", func(context.Context) error { refused = latch.Refuse(); return nil })
		require.NoError(t, g.Wait())
		require.NotEqual(t, sent, refused)
	}
}
