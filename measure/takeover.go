package main

import (
	"encoding/json"
	"math/rand/v2"
	"sort"
	"time"

	"redwinghall"
	"redwinghall/claim"
)

// takeover is the plain way of the paper "Idempotency Keys Are How You Make
// Retries Safe in Distributed Systems": a claim that is held for longer than
// its lease is taken over, on the assumption that its holder is dead.
type takeover struct {
	lease time.Duration
}

// Evaluate implements claim.TakeoverPolicy.
func (j takeover) Evaluate(now time.Time, row redwinghall.Row, bodyHash string, bound time.Duration) (claim.Verdict, redwinghall.Claim) {
	verdict, found := claim.NoTakeover{}.Evaluate(now, row, bodyHash, bound)
	if found.State == redwinghall.ClaimHeld && now.Sub(found.At) > j.lease {
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

// fate is what happens to a holder between its claim and its recording, drawn
// once for each key so that both judges meet the same failures.
type fate struct {
	dies    bool          // and never sends
	runs    bool          // dies after it sent, before it recorded
	freezes time.Duration // before it sends
	// checked says that it freezes after its last look at its caller's
	// deadline; otherwise it looks when it thaws, and does not send.
	checked bool
}

func drawFate(random *rand.Rand) fate {
	switch n := random.IntN(100); {
	case n < 2:
		return fate{dies: true}
	case n < 4:
		return fate{dies: true, runs: true}
	case n < 8:
		return fate{freezes: time.Duration(random.IntN(300)) * time.Second, checked: random.IntN(2) == 0}
	default:
		return fate{}
	}
}

// outcomeOf counts what one judge makes of one key.
type outcomeOf struct {
	runs  int
	stuck bool // never answered with its result
}

// measureTakeover lets both judges meet the same seeded failures on virtual
// time: 2% of holders die before sending, 2% after it, 4% freeze up to 300 s.
func measureTakeover(options) ([]Series, error) {
	judges := []struct {
		name  string
		judge claim.TakeoverPolicy
	}{{"never taken over", claim.NoTakeover{}}, {"taken over after 60 s", takeover{lease: takeoverLease}}}
	var out []Series
	for _, j := range judges {
		doubled, stuck := 0, 0
		for key := range takeoverKeys {
			random := rand.New(rand.NewPCG(7, uint64(key)))
			o := playKey(j.judge, random)
			if o.runs > 1 {
				doubled++
			}
			if o.stuck {
				stuck++
			}
		}
		out = append(out,
			Series{Name: j.name, XLabel: "keys", YLabel: "keys that ran twice or more", Points: []Point{{takeoverKeys, float64(doubled)}}},
			Series{Name: j.name, XLabel: "keys", YLabel: "keys without a recorded answer", Points: []Point{{takeoverKeys, float64(stuck)}}})
	}
	return out, nil
}

// sending is what a holder does when it is not dead: it sends its call, or
// releases the key because its caller's time is over.
type sending struct {
	at       time.Time
	token    string
	final    bool // the holder records after it
	released bool
}

// ownClaim reports whether the row still holds this attempt's claim.
func ownClaim(row redwinghall.Row, token string) bool {
	var c redwinghall.Claim
	return json.Unmarshal(row.Value, &c) == nil && c.Token == token && c.State == redwinghall.ClaimHeld
}

// playKey plays one key: a first attempt and retries at fixed intervals, each
// through another router, against one row.
func playKey(judge claim.TakeoverPolicy, random *rand.Rand) outcomeOf {
	start := time.Unix(0, 0)
	var out outcomeOf
	row := redwinghall.Row{}
	var queue []sending
	attempt := func(now time.Time, token string) {
		verdict, _ := judge.Evaluate(now, row, "h", takeoverLease)
		if verdict != claim.Proceed {
			return
		}
		row.Version++
		row.Value = redwinghall.Claim{Token: token, BodyHash: "h", State: redwinghall.ClaimHeld, At: now}.JSON()
		f := drawFate(random)
		if !f.dies || f.runs {
			queue = append(queue, sending{at: now.Add(f.freezes), token: token, final: !f.dies,
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
			if s.final && ownClaim(row, s.token) {
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
	verdict, found := judge.Evaluate(end, row, "h", takeoverLease)
	out.stuck = verdict != claim.Replay && found.State != redwinghall.ClaimRan
	return out
}
