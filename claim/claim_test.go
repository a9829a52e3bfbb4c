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
	key            = "claim/hauliers/rental-desk/deposit-1"
	hash           = "body"
	maxAttemptTime = time.Minute
)

// fixture is a table and the keepers of two routers that use it.
type fixture struct {
	table    *table.Table
	one, two *claim.Keeper
}

// newFixture starts the keepers. Recording an outcome is retried after a
// millisecond.
func newFixture(t *testing.T) fixture {
	t.Helper()
	tab := table.New()
	g := kernel.NewGroup(context.Background())
	start := func(router string) *claim.Keeper {
		k := claim.NewKeeper(claim.Config{Router: router, MaxAttemptTime: maxAttemptTime, RetryInterval: time.Millisecond}, tab, claim.NoTakeover{})
		k.Run(g)
		return k
	}
	f := fixture{table: tab, one: start("router-tartu-1"), two: start("router-parnu-1")}
	t.Cleanup(func() {
		g.Stop()
		require.NoError(t, g.Wait())
	})
	return f
}

func waitRecorded(t *testing.T, k *claim.Keeper) {
	t.Helper()
	require.Eventually(t, func() bool { return k.PendingOutcomes() == 0 }, 10*time.Second, time.Millisecond)
}

func mustClaim(t *testing.T, k *claim.Keeper, now time.Time) claim.Attempt {
	t.Helper()
	a, err := k.Claim(t.Context(), now, key, hash)
	require.NoError(t, err)
	return a
}

// Two routers claim the same key at the same moment, as when a client retries
// through another zone while its first request is in progress. Only one may
// proceed; with a separate check before the write, both would, and the customer
// would pay twice.
func TestTwoRoutersAtOnceOneProceeds(t *testing.T) {
	f := newFixture(t)
	now := time.Now()
	verdicts := make(chan claim.Verdict, 2)
	g := kernel.NewGroup(t.Context())
	for _, k := range []*claim.Keeper{f.one, f.two} {
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
		{"ran", func(k *claim.Keeper, a claim.Attempt) { k.RecordRan(a, redwinghall.Response{Status: 200}) }, hash, 0, claim.Replay},
		{"sent without an answer", func(k *claim.Keeper, a claim.Attempt) { k.RecordUnknown(a) }, hash, 0, claim.Unknown},
		{"released", func(k *claim.Keeper, a claim.Attempt) { k.Release(a) }, hash, 0, claim.Proceed},
		{"held", func(*claim.Keeper, claim.Attempt) {}, hash, 0, claim.InProgress},
		{"held for longer than an attempt lasts", func(*claim.Keeper, claim.Attempt) {}, hash, maxAttemptTime + time.Second, claim.Unknown},
		{"another body", func(*claim.Keeper, claim.Attempt) {}, "other", 0, claim.KeyReused},
		{"another body after a release", func(k *claim.Keeper, a claim.Attempt) { k.Release(a) }, "other", 0, claim.KeyReused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			now := time.Now()
			tt.finish(f.one, mustClaim(t, f.one, now))
			waitRecorded(t, f.one)
			a, err := f.two.Claim(t.Context(), now.Add(tt.later), key, tt.body)
			require.NoError(t, err)
			require.Equal(t, tt.want, a.Verdict)
		})
	}
}

// The claim is written but the response is lost. When the router reads the row
// back, it must recognize its own claim; if it took it for another router's, the
// request would stay "in progress" forever.
func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	f := newFixture(t)
	f.table.SetFaults(table.Faults{LoseResponses: 1})
	require.Equal(t, claim.Proceed, mustClaim(t, f.one, time.Now()).Verdict)
}

// The claim's write is delayed, the router finds no row and refuses the request
// as not run, and the write arrives afterwards. It must not be carried out, or it
// would block the client's retry.
func TestLateClaimCannotLandAfterRefusal(t *testing.T) {
	f := newFixture(t)
	f.table.SetFaults(table.Faults{LateWrites: 1})
	_, err := f.one.Claim(t.Context(), time.Now(), key, hash)
	require.Equal(t, claim.Lost, redwinghall.KindOf[claim.Kind](err))
	waitRecorded(t, f.one)
	require.Zero(t, f.table.ApplyLate(), "the late claim must find the row taken")
	require.Equal(t, claim.Proceed, mustClaim(t, f.two, time.Now()).Verdict)
}

// As above, for a key that an earlier attempt has released: the second attempt's
// claim is delayed, abandoned, and arrives late at the released row. The second
// attempt must write its own release even though the row is released already.
func TestLateClaimOverReleasedRow(t *testing.T) {
	f := newFixture(t)
	f.one.Release(mustClaim(t, f.one, time.Now()))
	waitRecorded(t, f.one)
	f.table.SetFaults(table.Faults{Skip: 1, LateWrites: 1}) // the insert conflicts; the claim of the released row is delayed
	_, err := f.two.Claim(t.Context(), time.Now(), key, hash)
	require.Error(t, err)
	waitRecorded(t, f.two)
	require.Zero(t, f.table.ApplyLate())
	require.Equal(t, claim.Proceed, mustClaim(t, f.one, time.Now()).Verdict)
}

// While the table is down, claims are refused immediately without asking the
// table for each request, and they succeed again after it recovers.
func TestTableDownRefusesAtOnceAndRecovers(t *testing.T) {
	f := newFixture(t)
	f.table.SetFaults(table.Faults{Down: true})
	for range 3 {
		_, err := f.one.Claim(t.Context(), time.Now(), key, hash)
		require.Equal(t, claim.Unavailable, redwinghall.KindOf[claim.Kind](err))
	}
	require.LessOrEqual(t, f.one.Writer().Counts().Transactions, uint64(1), "the table is not asked for each request")
	f.table.SetFaults(table.Faults{})
	require.Eventually(t, func() bool {
		a, err := f.one.Claim(t.Context(), time.Now(), key, hash)
		return err == nil && a.Verdict == claim.Proceed
	}, 10*time.Second, 10*time.Millisecond)
}

// The table accepts the connection and never responds. The claim must end with
// the request's deadline rather than wait for the table indefinitely.
func TestSilentTableEndsWithTheRequest(t *testing.T) {
	f := newFixture(t)
	f.table.SetFaults(table.Faults{Silent: true})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := f.one.Claim(ctx, time.Now(), key, hash)
	require.Equal(t, claim.Lost, redwinghall.KindOf[claim.Kind](err))
	f.table.SetFaults(table.Faults{})
	waitRecorded(t, f.one)
	require.Equal(t, claim.Proceed, mustClaim(t, f.two, time.Now()).Verdict)
}

// The table goes down after a call ran and before its outcome is recorded.
// Recording must be retried until the table is back; otherwise a retry of the
// request would not find its response.
func TestOutcomeIsRecordedAfterAnOutage(t *testing.T) {
	f := newFixture(t)
	a := mustClaim(t, f.one, time.Now())
	f.table.SetFaults(table.Faults{Down: true})
	f.one.RecordRan(a, redwinghall.Response{Status: 201, Body: []byte("ok")})
	f.table.SetFaults(table.Faults{})
	waitRecorded(t, f.one)
	found := mustClaim(t, f.two, time.Now())
	require.Equal(t, claim.Replay, found.Verdict)
	require.Equal(t, 201, found.Claim.Response.Status)
}

// Many concurrent claims must share transactions rather than use up the table's
// capacity of several hundred writes.
func TestConcurrentClaimsShareTransactions(t *testing.T) {
	f := newFixture(t)
	f.table.SetFaults(table.Faults{Latency: redwinghall.Duration(5 * time.Millisecond)})
	const claims = 100
	g := kernel.NewGroup(t.Context())
	for i := range claims {
		g.Go("claim", func(ctx context.Context) error {
			k := redwinghall.ClaimKey("hauliers", "rental-desk", string(rune('a'+i%26))+string(rune('a'+i/26)))
			a, err := f.one.Claim(ctx, time.Now(), k, hash)
			if err == nil && a.Verdict != claim.Proceed {
				t.Errorf("claim %d: verdict %d", i, a.Verdict)
			}
			return err
		})
	}
	require.NoError(t, g.Wait())
	counts := f.one.Writer().Counts()
	require.Equal(t, uint64(claims), counts.Rows)
	require.Less(t, counts.Transactions, uint64(claims/2))
}

// A conflict on one key must not fail the claims that share its transaction.
func TestConflictSparesTheRestOfTheBatch(t *testing.T) {
	f := newFixture(t)
	mustClaim(t, f.two, time.Now())
	f.table.SetFaults(table.Faults{Latency: redwinghall.Duration(5 * time.Millisecond)})
	g := kernel.NewGroup(t.Context())
	for _, k := range []string{"claim/a/b/1", key, "claim/a/b/2", "claim/a/b/3"} {
		g.Go("claim", func(ctx context.Context) error {
			a, err := f.one.Claim(ctx, time.Now(), k, hash)
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

// The deadline passes at the moment when the call is sent. Exactly one of sending
// and refusing must succeed; with two separate checks of the clock, a client could
// get "not run" for a call that was sent.
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
