package main

import (
	"encoding/json"
	"math/rand/v2"
	"sort"
	"time"

	"redwinghall"
	"redwinghall/claim"
)

// takeover is the baseline policy, from the paper "Idempotency Keys Are How You
// Make Retries Safe in Distributed Systems": a claim that is held for longer than
// its lease is taken over, on the assumption that its holder is dead.
type takeover struct {
	lease time.Duration
}

// Evaluate implements claim.TakeoverPolicy.
func (t takeover) Evaluate(now time.Time, row redwinghall.Row, bodyHash string, bound time.Duration) (claim.Verdict, redwinghall.Claim) {
	verdict, found := claim.NoTakeover{}.Evaluate(now, row, bodyHash, bound)
	if found.State == redwinghall.ClaimHeld && now.Sub(found.At) > t.lease {
		return claim.Proceed, found
	}
	return verdict, found
}

const (
	takeoverKeys  = 20000
	takeoverLease = time.Minute
	retryEvery    = 20 * time.Second
	retryCount    = 12
	// callerDeadline is how long a caller waits for one attempt.
	callerDeadline = 5 * time.Second
)

// failure is what goes wrong at a holder between its claim and the record of the
// outcome. It is drawn from a random source seeded by key, so that both policies
// get the same failures.
type failure struct {
	dies    bool          // dies before it sends the call, unless runs is set
	runs    bool          // dies after it sent the call, before it records the outcome
	freezes time.Duration // suspended for so long before it sends the call
	// checked means that it is suspended after its last check of the caller's
	// deadline. Otherwise it checks when it resumes, and doesn't send the call
	// if the deadline has passed.
	checked bool
}

func drawFailure(random *rand.Rand) failure {
	switch n := random.IntN(100); {
	case n < 2:
		return failure{dies: true}
	case n < 4:
		return failure{dies: true, runs: true}
	case n < 8:
		return failure{freezes: time.Duration(random.IntN(300)) * time.Second, checked: random.IntN(2) == 0}
	default:
		return failure{}
	}
}

// keyOutcome is the result of one key under one policy.
type keyOutcome struct {
	runs  int  // number of executions
	stuck bool // no retry can get a recorded response
}

// measureTakeover simulates both policies in virtual time with the same seeded
// failures: 2% of holders die before they send the call, 2% after it, and 4% are
// suspended for up to 300 s.
func measureTakeover(options) ([]Series, error) {
	policies := []struct {
		name   string
		policy claim.TakeoverPolicy
	}{{"never taken over", claim.NoTakeover{}}, {"taken over after 60 s", takeover{lease: takeoverLease}}}
	var out []Series
	for _, p := range policies {
		doubled, stuck := 0, 0
		for key := range takeoverKeys {
			random := rand.New(rand.NewPCG(7, uint64(key)))
			o := simulateKey(p.policy, random)
			if o.runs > 1 {
				doubled++
			}
			if o.stuck {
				stuck++
			}
		}
		out = append(out,
			Series{Name: p.name, XLabel: "keys", YLabel: "keys that ran twice or more", Points: []Point{{takeoverKeys, float64(doubled)}}},
			Series{Name: p.name, XLabel: "keys", YLabel: "keys without a recorded answer", Points: []Point{{takeoverKeys, float64(stuck)}}})
	}
	return out, nil
}

// pendingCall is the next step of a holder that is alive at that time: it sends
// its call, or releases the key because the caller's deadline has passed.
type pendingCall struct {
	at       time.Time
	token    string
	final    bool // the holder records the outcome
	released bool // the holder releases the key and sends nothing
}

// holdsClaim reports whether the row still contains the claim with this token.
func holdsClaim(row redwinghall.Row, token string) bool {
	var c redwinghall.Claim
	return json.Unmarshal(row.Value, &c) == nil && c.Token == token && c.State == redwinghall.ClaimHeld
}

// simulateKey simulates one key: a first attempt and retries at fixed intervals,
// each through another router, against one row.
func simulateKey(policy claim.TakeoverPolicy, random *rand.Rand) keyOutcome {
	start := time.Unix(0, 0)
	var out keyOutcome
	row := redwinghall.Row{}
	var queue []pendingCall
	attempt := func(now time.Time, token string) {
		verdict, _ := policy.Evaluate(now, row, "h", takeoverLease)
		if verdict != claim.Proceed {
			return
		}
		row.Version++
		row.Value = redwinghall.Claim{Token: token, BodyHash: "h", State: redwinghall.ClaimHeld, At: now}.JSON()
		f := drawFailure(random)
		if !f.dies || f.runs {
			queue = append(queue, pendingCall{at: now.Add(f.freezes), token: token, final: !f.dies,
				released: !f.checked && f.freezes > callerDeadline})
		}
	}
	send := func(upTo time.Time) {
		sort.Slice(queue, func(i, j int) bool { return queue[i].at.Before(queue[j].at) })
		for len(queue) > 0 && !queue[0].at.After(upTo) {
			s := queue[0]
			queue = queue[1:]
			state := redwinghall.ClaimRan
			if s.released {
				state = redwinghall.ClaimReleased
			} else {
				out.runs++
			}
			if s.final && holdsClaim(row, s.token) {
				row.Version++
				row.Value = redwinghall.Claim{Token: s.token, BodyHash: "h", State: state, At: s.at}.JSON()
			}
		}
	}
	for i := range retryCount + 1 {
		now := start.Add(time.Duration(i) * retryEvery)
		send(now)
		attempt(now, string(rune('a'+i)))
	}
	end := start.Add(time.Hour)
	send(end)
	verdict, found := policy.Evaluate(end, row, "h", takeoverLease)
	out.stuck = verdict != claim.Replay && found.State != redwinghall.ClaimRan
	return out
}
