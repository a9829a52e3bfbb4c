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

// Config holds the settings of a keeper.
type Config struct {
	Router string
	// MaxAttemptTime is the longest time from a claim to its recorded outcome.
	MaxAttemptTime time.Duration
	// WriteInterval is the minimum time between two transactions of the router.
	WriteInterval time.Duration
	// RetryInterval is the initial delay between attempts to record an outcome;
	// it doubles with each failure.
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

// Attempt is a router's attempt to claim a key.
type Attempt struct {
	Key     string
	Verdict Verdict
	// Claim is this attempt's claim if the verdict is Proceed, and otherwise the
	// claim that it found.
	Claim redwinghall.Claim
}

// Keeper claims keys and records outcomes for one router.
type Keeper struct {
	config Config
	table  redwinghall.Table
	writer *Writer
	policy TakeoverPolicy

	mu      sync.Mutex
	pending map[string]redwinghall.Claim // outcomes not recorded yet, by token
	keys    map[string]string            // keys of the pending outcomes, by token
	wake    chan struct{}
}

// NewKeeper returns a keeper; policy decides what rows of earlier attempts mean.
func NewKeeper(config Config, table redwinghall.Table, policy TakeoverPolicy) *Keeper {
	config = config.WithDefaults()
	return &Keeper{
		config: config, table: table, policy: policy,
		writer:  NewWriter(table, config.WriteInterval),
		pending: map[string]redwinghall.Claim{},
		keys:    map[string]string{},
		wake:    make(chan struct{}, 1),
	}
}

// Run starts the keeper's background loops in g.
func (k *Keeper) Run(g *kernel.Group) {
	g.Keep("claim.writer", k.writer.Run)
	g.Keep("claim.probe", k.writer.RunProbe)
	g.Keep("claim.record", k.recordLoop)
}

// Writer returns the writer, whose counts are reported as metrics.
func (k *Keeper) Writer() *Writer { return k.writer }

// PendingOutcomes returns the number of outcomes that are not recorded yet.
func (k *Keeper) PendingOutcomes() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.pending)
}

// BodyHash returns the hash by which a request is compared with an earlier one
// that used the same key.
func BodyHash(method, path string, body []byte) string {
	hash := sha256.New()
	_, _ = hash.Write([]byte(method + "\n" + path + "\n")) // never returns an error
	_, _ = hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// Claim tries to claim the key. A verdict of Proceed means that this router, and
// no other, may send the call, once. If Claim returns an error, the call was not
// and will not be sent, so the request may be answered with not_run.
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
			return k.resolveUnknown(ctx, key, claim)
		case conflicted:
		}
		attempt, version, err := k.readBack(ctx, now, key, claim)
		if err != nil || attempt.Verdict != Proceed || attempt.Claim.Token == claim.Token {
			return attempt, err
		}
		expect = version
	}
}

// readBack evaluates the row that the claim conflicted with.
func (k *Keeper) readBack(ctx context.Context, now time.Time, key string, claim redwinghall.Claim) (Attempt, int64, error) {
	rows, err := k.table.Read(ctx, key)
	if err != nil {
		return Attempt{}, 0, redwinghall.NewOpError("Keeper.readBack", Unavailable, err)
	}
	row := rows[0]
	verdict, found := k.policy.Evaluate(now, row, claim.BodyHash, k.config.MaxAttemptTime)
	if found.Token == claim.Token {
		return Attempt{Key: key, Verdict: Proceed, Claim: claim}, row.Version, nil
	}
	return Attempt{Key: key, Verdict: verdict, Claim: found}, row.Version, nil
}

// resolveUnknown reads the row back after a lost response and compares the token.
//
// When the response to a claim is lost, the claim may have been written, not
// written, or may be written later. Claiming again without reading would conflict
// with the attempt's own row and answer "in progress" forever. Treating a missing
// row as an unused key would let a delayed write block the key. The call proceeds
// only if the row that is read back has this attempt's token. Otherwise the
// attempt is abandoned and the row is released, which also stops a delayed write,
// because that write requires that the row does not exist.
func (k *Keeper) resolveUnknown(ctx context.Context, key string, claim redwinghall.Claim) (Attempt, error) {
	rows, err := k.table.Read(ctx, key)
	if err == nil {
		var found redwinghall.Claim
		if rows[0].Version != 0 && json.Unmarshal(rows[0].Value, &found) == nil && found.Token == claim.Token {
			return Attempt{Key: key, Verdict: Proceed, Claim: claim}, nil
		}
	}
	if err != nil && ctx.Err() == nil {
		k.writer.setDown(true) // neither writes nor reads work: refuse the next claims immediately
	}
	k.Release(Attempt{Key: key, Claim: claim})
	return Attempt{}, redwinghall.NewOpError("Keeper.resolveUnknown", Lost, err)
}

// Release records that the attempt's call was not sent and never will be.
func (k *Keeper) Release(a Attempt) { k.enqueue(a.Key, a.Claim.WithState(redwinghall.ClaimReleased)) }

// RecordRan records the response to the attempt's call.
func (k *Keeper) RecordRan(a Attempt, response redwinghall.Response) {
	k.enqueue(a.Key, a.Claim.WithResponse(response))
}

// RecordUnknown records that the attempt's call was sent and no response arrived.
func (k *Keeper) RecordUnknown(a Attempt) {
	k.enqueue(a.Key, a.Claim.WithState(redwinghall.ClaimUnknown))
}

// enqueue keeps the outcome in memory until it is written to the table. The caller
// need not wait: while the row's state is held, no other router sends the call.
func (k *Keeper) enqueue(key string, outcome redwinghall.Claim) {
	k.mu.Lock()
	k.pending[outcome.Token] = outcome
	k.keys[outcome.Token] = key
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// recordLoop writes pending outcomes to the table, many at a time, so that they
// share transactions.
func (k *Keeper) recordLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.wake:
		}
		for failures := 0; k.PendingOutcomes() > 0 && ctx.Err() == nil; {
			if k.recordPending(ctx) {
				failures = 0
				continue
			}
			if !kernel.Sleep(ctx, backoff(failures, k.config.RetryInterval)) {
				return nil
			}
			failures++
		}
	}
}

// recordPending tries to record up to maxBatch pending outcomes and reports whether
// all of these were recorded.
func (k *Keeper) recordPending(ctx context.Context) bool {
	k.mu.Lock()
	var keys []string
	var outcomes []redwinghall.Claim
	for token, outcome := range k.pending {
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
	var recorded atomic.Int32
	round := kernel.NewGroup(ctx)
	for i := range rows {
		round.Task("claim.record_one", func(ctx context.Context) {
			if k.recordOne(ctx, rows[i], outcomes[i]) {
				k.removePending(outcomes[i])
				recorded.Add(1)
			}
		})
	}
	return round.Wait() == nil && int(recorded.Load()) == len(rows)
}

// recordOne writes the outcome to its row, unless nothing is left to write, and
// reports whether no further attempt is needed.
func (k *Keeper) recordOne(ctx context.Context, row redwinghall.Row, outcome redwinghall.Claim) bool {
	var found redwinghall.Claim
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &found); err != nil {
			klog.ErrorS(err, "claim_unreadable", "key", row.Key)
			return true
		}
		if isRecorded(found, outcome) {
			return true
		}
	}
	return k.writer.Write(ctx, redwinghall.Write{Key: row.Key, Expect: row.Version, Value: outcome.JSON()}) == written
}

// isRecorded reports whether nothing is left to write for the outcome, because it
// is recorded or the key was claimed by another attempt. A release is still
// written over another attempt's release, because this attempt's own delayed
// write may be conditional on the version that the release changes.
func isRecorded(found, outcome redwinghall.Claim) bool {
	if found.Token == outcome.Token {
		return found.State != redwinghall.ClaimHeld
	}
	bothReleased := found.State == redwinghall.ClaimReleased && outcome.State == redwinghall.ClaimReleased
	return !bothReleased
}

// removePending removes a recorded outcome unless a later one has replaced it.
func (k *Keeper) removePending(outcome redwinghall.Claim) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pending[outcome.Token].State == outcome.State {
		delete(k.pending, outcome.Token)
		delete(k.keys, outcome.Token)
	}
}
