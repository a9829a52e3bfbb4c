package claim

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/kernel"
)

// Config of a keeper.
type Config struct {
	Router string
	// MaxAttemptTime is the longest time from a claim to its recorded outcome.
	MaxAttemptTime time.Duration
	// WriteInterval is the least time between two of the router's transactions.
	WriteInterval time.Duration
	// RetryInterval is the first pause between attempts to record an outcome;
	// it doubles while they fail.
	RetryInterval time.Duration
}

// WithDefaults returns the configuration with its empty fields filled.
func (c Config) WithDefaults() Config {
	if c.MaxAttemptTime == 0 {
		c.MaxAttemptTime = time.Minute
	}
	if c.RetryInterval == 0 {
		c.RetryInterval = 250 * time.Millisecond
	}
	return c
}

// Attempt is one router's try at one key.
type Attempt struct {
	Key     string
	Verdict Verdict
	// Claim is what this attempt holds when the verdict is Proceed, and what
	// it found otherwise.
	Claim redwinghall.Claim
}

// Keeper claims keys and records outcomes for one router.
type Keeper struct {
	config Config
	table  redwinghall.Table
	writer *Writer
	judge  TakeoverPolicy

	mu   sync.Mutex
	owed map[string]redwinghall.Claim // by token: what must still be recorded
	keys map[string]string            // token to key, of what is owed
	wake chan struct{}
}

// NewKeeper returns a keeper; judge decides what rows of earlier attempts mean.
func NewKeeper(config Config, table redwinghall.Table, judge TakeoverPolicy) *Keeper {
	config = config.WithDefaults()
	return &Keeper{
		config: config, table: table, judge: judge,
		writer: NewWriter(table, config.WriteInterval),
		owed:   map[string]redwinghall.Claim{},
		keys:   map[string]string{},
		wake:   make(chan struct{}, 1),
	}
}

// Run starts the keeper's loops in g.
func (k *Keeper) Run(g *kernel.Group) {
	g.Go("claim.writer", k.writer.Run)
	g.Go("claim.probe", k.writer.RunProbe)
	g.Go("claim.settle", k.settleLoop)
}

// Writer returns the writer, for its counts.
func (k *Keeper) Writer() *Writer { return k.writer }

// PendingOutcomes returns how many outcomes are not recorded yet.
func (k *Keeper) PendingOutcomes() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.owed)
}

// BodyHash returns what identifies a request beside its key.
func BodyHash(method, path string, body []byte) string {
	hash := sha256.New()
	_, _ = hash.Write([]byte(method + "\n" + path + "\n")) // a hash never fails
	_, _ = hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// Claim tries to claim the key. A verdict of Proceed means that this router,
// and no other, may send the call, once. With an error the call was not and
// will not be sent, so the caller may be told not_run.
func (k *Keeper) Claim(ctx context.Context, now time.Time, key, bodyHash string) (Attempt, error) {
	claim := redwinghall.Claim{
		Token: rand.Text(), BodyHash: bodyHash, State: redwinghall.ClaimHeld,
		Router: k.config.Router, At: now,
	}
	expect := int64(0)
	for {
		switch k.writer.Write(ctx, redwinghall.Write{Key: key, Expect: expect, Value: claim.JSON()}) {
		case written:
			return Attempt{Key: key, Verdict: Proceed, Claim: claim}, nil
		case unavailable:
			return Attempt{}, redwinghall.NewOpError("Keeper.Claim", Unavailable, nil)
		case unknown:
			return k.settleUnknown(ctx, key, claim)
		case conflicted:
		}
		attempt, version, err := k.readBack(ctx, now, key, claim)
		if err != nil || attempt.Verdict != Proceed || attempt.Claim.Token == claim.Token {
			return attempt, err
		}
		expect = version
	}
}

// readBack looks at the row that stood in the way.
func (k *Keeper) readBack(ctx context.Context, now time.Time, key string, claim redwinghall.Claim) (Attempt, int64, error) {
	rows, err := k.table.Read(ctx, key)
	if err != nil {
		return Attempt{}, 0, redwinghall.NewOpError("Keeper.readBack", Unavailable, err)
	}
	row := rows[0]
	verdict, found := k.judge.Evaluate(now, row, claim.BodyHash, k.config.MaxAttemptTime)
	if found.Token == claim.Token {
		return Attempt{Key: key, Verdict: Proceed, Claim: claim}, row.Version, nil
	}
	return Attempt{Key: key, Verdict: verdict, Claim: found}, row.Version, nil
}

// settleUnknown reads the row back after a lost answer and compares the token.
//
// Guard: when the answer to a claim is lost the claim may be there, may not be
// there, or may land later. Claiming again blindly would find its own row and
// leave the caller with "in progress" for good; taking absence for a free key
// would let a late write block it. Only the token read back lets the call
// proceed. Otherwise the attempt is given up and the row is released, which
// also stops a late write: it demands that the row does not exist.
func (k *Keeper) settleUnknown(ctx context.Context, key string, claim redwinghall.Claim) (Attempt, error) {
	rows, err := k.table.Read(ctx, key)
	if err == nil {
		var found redwinghall.Claim
		if rows[0].Version != 0 && json.Unmarshal(rows[0].Value, &found) == nil && found.Token == claim.Token {
			return Attempt{Key: key, Verdict: Proceed, Claim: claim}, nil
		}
	}
	if err != nil && ctx.Err() == nil {
		k.writer.setDown(true) // neither write nor read: refuse the next ones at once
	}
	k.Release(Attempt{Key: key, Claim: claim})
	return Attempt{}, redwinghall.NewOpError("Keeper.settleUnknown", Lost, err)
}

// Release records that the attempt's call was not sent and never will be.
func (k *Keeper) Release(a Attempt) { k.owe(a.Key, a.Claim.WithState(redwinghall.ClaimReleased)) }

// RecordRan records the answer of the attempt's call.
func (k *Keeper) RecordRan(a Attempt, answer redwinghall.Answer) {
	k.owe(a.Key, a.Claim.WithAnswer(answer))
}

// RecordUnknown records that the attempt's call was sent and no answer came.
func (k *Keeper) RecordUnknown(a Attempt) {
	k.owe(a.Key, a.Claim.WithState(redwinghall.ClaimUnknown))
}

// owe keeps the outcome until the table has it. The caller need not wait: as
// long as the row says "held" nobody else sends the call.
func (k *Keeper) owe(key string, outcome redwinghall.Claim) {
	k.mu.Lock()
	k.owed[outcome.Token] = outcome
	k.keys[outcome.Token] = key
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// settleLoop records what is owed. Outcomes are tried together, so that they
// share transactions.
func (k *Keeper) settleLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.wake:
		}
		for failures := 0; k.PendingOutcomes() > 0 && ctx.Err() == nil; {
			if k.settleRound(ctx) {
				failures = 0
				continue
			}
			if !kernel.Sleep(ctx, pauseAfter(failures, k.config.RetryInterval)) {
				return nil
			}
			failures++
		}
	}
}

// settleRound tries everything owed once and reports whether all succeeded.
func (k *Keeper) settleRound(ctx context.Context) bool {
	k.mu.Lock()
	var keys []string
	var outcomes []redwinghall.Claim
	for token, outcome := range k.owed {
		if len(keys) == maxBatch {
			break
		}
		keys = append(keys, k.keys[token])
		outcomes = append(outcomes, outcome)
	}
	k.mu.Unlock()
	rows, err := k.table.Read(ctx, keys...)
	if err != nil {
		return false
	}
	var failed atomic.Bool
	round := kernel.NewGroup(ctx)
	for i := range rows {
		round.Go("claim.settle_one", func(ctx context.Context) error {
			if k.settleOne(ctx, rows[i], outcomes[i]) {
				k.forget(outcomes[i])
				return nil
			}
			failed.Store(true)
			return nil
		})
	}
	return round.Wait() == nil && !failed.Load()
}

// settleOne brings one row to its outcome and reports whether that is done.
func (k *Keeper) settleOne(ctx context.Context, row redwinghall.Row, outcome redwinghall.Claim) bool {
	var found redwinghall.Claim
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &found); err != nil {
			klog.ErrorS(err, "claim_unreadable", "key", row.Key)
			return true
		}
		if settled(found, outcome) {
			return true
		}
	}
	return k.writer.Write(ctx, redwinghall.Write{Key: row.Key, Expect: row.Version, Value: outcome.JSON()}) == written
}

// settled reports whether nothing is left to write for the outcome: it is
// recorded, or the key went to another attempt. A release over another
// attempt's release is still written: the version that it moves is the one
// that this attempt's own late write may be waiting to find.
func settled(found, outcome redwinghall.Claim) bool {
	if found.Token == outcome.Token {
		return found.State != redwinghall.ClaimHeld
	}
	bothReleased := found.State == redwinghall.ClaimReleased && outcome.State == redwinghall.ClaimReleased
	return !bothReleased
}

// forget drops what was owed unless a later outcome replaced it.
func (k *Keeper) forget(outcome redwinghall.Claim) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.owed[outcome.Token].State == outcome.State {
		delete(k.owed, outcome.Token)
		delete(k.keys, outcome.Token)
	}
}
