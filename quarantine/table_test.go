package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/quarantine"
)

const service = "llm"

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// history is a table with a clock.
type history struct {
	*quarantine.Table
	now  time.Time
	ends int
}

func newHistory() *history { return &history{Table: quarantine.NewTable(), now: start} }

func (h *history) pass(d time.Duration) { h.now = h.now.Add(d) }

func (h *history) prove(parts ...string) { h.RecordProven(h.now, service, parts) }

// end records the end of another process under a request.
func (h *history) end(trial bool, parts ...string) {
	h.ends++
	h.endOf(fmt.Sprint("engine-", h.ends), trial, parts...)
}

func (h *history) endOf(endpoint string, trial bool, parts ...string) {
	h.ends++
	h.RecordEnd(quarantine.Suspect{
		Process: quarantine.Process{Endpoint: endpoint, StartedMillis: 1}, Request: fmt.Sprint("r", h.ends), Service: service, Parts: parts, Trial: trial, At: h.now,
	})
}

func (h *history) verdict(parts ...string) quarantine.Verdict {
	return h.Check(h.now, service, parts).Verdict
}

// tryAndEnd sends requests as trials that end their endpoints, and returns how many it sent before the part was refused.
func (h *history) tryAndEnd(t *testing.T, parts ...string) int {
	t.Helper()
	for sent := 0; ; sent++ {
		require.Less(t, sent, 20)
		request := fmt.Sprint("try", h.ends)
		switch h.RequestTrial(h.now, request, service, parts) {
		case quarantine.TrialRefused:
			return sent
		case quarantine.TrialNeedless:
			h.end(false, parts...)
		default:
			h.end(true, parts...)
			h.EndTrial(request)
		}
		h.pass(200 * time.Millisecond)
	}
}

func TestThirdEndQuarantinesAPart(t *testing.T) {
	t.Parallel()
	h := newHistory()
	h.prove("first")
	require.Equal(t, quarantine.Send, h.verdict("first", "bad"))
	h.end(false, "first", "bad")
	require.Equal(t, quarantine.Trial, h.verdict("first", "bad"), "from the first end on one request at a time")
	require.Equal(t, quarantine.Send, h.verdict("first"), "a part that endpoints just answered on is trusted")
	h.pass(200 * time.Millisecond)
	h.end(true, "first", "bad")
	h.prove("first")
	require.Equal(t, quarantine.Trial, h.verdict("first", "bad"))
	h.pass(200 * time.Millisecond)
	h.end(true, "first", "bad")
	require.Equal(t, quarantine.Refuse, h.verdict("first", "bad"))
	require.Equal(t, quarantine.Refuse, h.verdict("another", "bad"), "whatever else the request holds")
	require.Equal(t, quarantine.Send, h.Check(h.now, "another service", []string{"bad"}).Verdict)
	h.prove("first")
	require.Equal(t, quarantine.Send, h.verdict("first"))
}

func TestOnlyOneTrialAtATime(t *testing.T) {
	t.Parallel()
	h := newHistory()
	h.end(false, "bad")
	require.Equal(t, quarantine.TrialGranted, h.RequestTrial(h.now, "r1", service, []string{"bad"}))
	require.Equal(t, quarantine.TrialGranted, h.RequestTrial(h.now, "r1", service, []string{"bad"}), "its answer may have been lost")
	require.Equal(t, quarantine.TrialBusy, h.RequestTrial(h.now, "r2", service, []string{"bad"}))
	h.EndTrial("r1")
	require.Equal(t, quarantine.TrialGranted, h.RequestTrial(h.now, "r2", service, []string{"bad"}))
	h.pass(10 * time.Second)
	require.Equal(t, quarantine.TrialGranted, h.RequestTrial(h.now, "r3", service, []string{"bad"}), "a lost trial holds up nobody")
	h.prove("bad")
	require.Equal(t, quarantine.TrialNeedless, h.RequestTrial(h.now, "r4", service, []string{"bad"}))
}

func TestAnAnswerClearsAPart(t *testing.T) {
	t.Parallel()
	h := newHistory()
	h.tryAndEnd(t, "sound")
	require.Equal(t, quarantine.Refuse, h.verdict("sound"))
	h.pass(time.Second)
	h.prove("sound")
	require.Equal(t, quarantine.Send, h.verdict("sound"))
	require.Zero(t, h.Digest())
}

func TestTwoBadPartsAtOnceAreBothQuarantined(t *testing.T) {
	t.Parallel()
	h := newHistory()
	ended := 0
	for range 20 {
		for _, part := range []string{"bad-1", "bad-2"} {
			if h.verdict("first", part) != quarantine.Refuse {
				h.end(h.verdict("first", part) == quarantine.Trial, "first", part)
				ended++
			}
			h.pass(150 * time.Millisecond)
			h.prove("first")
		}
	}
	require.Equal(t, quarantine.Refuse, h.verdict("first", "bad-1"))
	require.Equal(t, quarantine.Refuse, h.verdict("first", "bad-2"))
	require.LessOrEqual(t, ended, 6, "three ends each")
}

// Half of all requests have a part that endpoints answered on until now.
func TestAPartThatTurnsBadIsQuarantined(t *testing.T) {
	t.Parallel()
	h := newHistory()
	for range 100 {
		h.prove("common")
		h.pass(10 * time.Millisecond)
	}
	ended := 0
	for h.verdict("common") != quarantine.Refuse {
		h.end(h.verdict("common") == quarantine.Trial, "common")
		ended++
		h.pass(200 * time.Millisecond)
		require.Less(t, ended, 10)
	}
	require.LessOrEqual(t, ended, 3)
}

func TestARarePartBesideABadOneStaysUsable(t *testing.T) {
	t.Parallel()
	h := newHistory()
	for i := range 3 {
		h.end(i > 0, fmt.Sprint("rare-", i), "bad")
		h.pass(200 * time.Millisecond)
	}
	require.Equal(t, quarantine.Refuse, h.verdict("other", "bad"))
	for i := range 3 {
		require.Equal(t, quarantine.TrialGranted, h.RequestTrial(h.now, fmt.Sprint("sound-", i), service, []string{fmt.Sprint("rare-", i)}))
	}
}

// A caller with a bad part adds the part of another caller to each of its requests.
func TestNobodyShutsOutThePartOfAnotherCaller(t *testing.T) {
	t.Parallel()
	for name, usedBefore := range map[string]bool{"in use": true, "not used for long": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHistory()
			if usedBefore {
				h.prove("victim")
			}
			h.pass(time.Second)
			h.tryAndEnd(t, "victim", "bad")
			require.Equal(t, quarantine.Refuse, h.verdict("victim", "bad"))
			require.NotEqual(t, quarantine.Refuse, h.verdict("victim"))
			require.Equal(t, quarantine.TrialGranted, h.RequestTrial(h.now, "victim's", service, []string{"victim"}))
			h.prove("victim")
			require.Equal(t, quarantine.Send, h.verdict("victim"))
			require.Equal(t, quarantine.Refuse, h.verdict("victim", "bad"), "an answer on one part doesn't clear the other")
		})
	}
}

// A zone's workers end at once: requests with a hundred parts wait there, some at two workers by a retry.
func TestManyEndsAtOnceQuarantineNothing(t *testing.T) {
	t.Parallel()
	h := newHistory()
	for engine := range 20 {
		for i := range 5 {
			h.endOf(fmt.Sprint("zone-engine-", engine), false, "first", fmt.Sprint("part-", (5*engine+i)%90))
		}
		h.pass(3 * time.Millisecond)
	}
	for i := range 90 {
		part := fmt.Sprint("part-", i)
		require.NotEqual(t, quarantine.Refuse, h.verdict("first", part))
	}
	require.Equal(t, quarantine.TrialGranted, h.RequestTrial(h.now, "next", service, []string{"first", "part-1"}))
	h.pass(100 * time.Millisecond)
	h.prove("first", "part-1")
	require.Equal(t, quarantine.Send, h.verdict("first", "part-1"))
	require.Equal(t, quarantine.Trial, h.verdict("first", "part-2"))
}

// Workers end one by one for another reason. Trials of a rare part meet two of them.
func TestAPartAtAFewOfManyEndsIsNotQuarantined(t *testing.T) {
	t.Parallel()
	h := newHistory()
	for i := range 30 {
		switch i {
		case 2:
			h.end(false, "first", "rare")
		case 10, 20:
			h.end(true, "first", "rare")
		default:
			h.end(false, "first", fmt.Sprint("other-", i))
		}
		h.pass(300 * time.Millisecond)
		h.prove("first")
		require.NotEqual(t, quarantine.Refuse, h.verdict("first", "rare"))
	}
}

func TestARetestIsRareAndOne(t *testing.T) {
	t.Parallel()
	h := newHistory()
	ended := h.tryAndEnd(t, "bad")
	begun := h.now
	for h.now.Sub(begun) < 24*time.Hour {
		h.pass(time.Second)
		if h.verdict("bad") == quarantine.Refuse {
			continue
		}
		require.Greater(t, h.now.Sub(begun), 9*time.Minute)
		require.Equal(t, quarantine.TrialGranted, h.RequestTrial(h.now, "retest", service, []string{"bad"}))
		require.Equal(t, quarantine.TrialBusy, h.RequestTrial(h.now, "other", service, []string{"bad"}))
		h.end(true, "bad")
		h.EndTrial("retest")
		ended++
	}
	require.LessOrEqual(t, ended, 3+8, "each end doubles the time until the next retest")
}

func TestAMendedWorkerIsUsedAgain(t *testing.T) {
	t.Parallel()
	h := newHistory()
	h.tryAndEnd(t, "bad")
	h.pass(10 * time.Minute)
	require.Equal(t, quarantine.TrialGranted, h.RequestTrial(h.now, "retest", service, []string{"bad"}))
	h.prove("bad")
	require.Equal(t, quarantine.Send, h.verdict("bad"))
}

func TestAnOperatorReleasesAPart(t *testing.T) {
	t.Parallel()
	h, other := newHistory(), newHistory()
	h.tryAndEnd(t, "bad")
	h.pass(time.Second)
	other.now = h.now
	other.Merge(h.now, h.All(h.now))
	require.Equal(t, quarantine.Refuse, other.verdict("bad"))
	require.True(t, h.Release(h.now, quarantine.Part{Service: service, ID: "bad"}))
	require.False(t, h.Release(h.now, quarantine.Part{Service: service, ID: "bad"}))
	require.Equal(t, quarantine.Send, h.verdict("bad"))
	other.Merge(h.now, h.All(h.now))
	require.Equal(t, quarantine.Send, other.verdict("bad"))
}

// A caller floods the table with parts of its own.
func TestAFloodOfPartsPushesNoEvidenceOut(t *testing.T) {
	t.Parallel()
	h := newHistory()
	h.tryAndEnd(t, "bad")
	for i := range 20000 {
		h.prove(fmt.Sprint("flood-", i))
	}
	for i := range 2000 {
		h.endOf(fmt.Sprint("flooded-", i%40), false, fmt.Sprint("flood-end-", i))
	}
	require.Equal(t, quarantine.Refuse, h.verdict("bad"))
	require.LessOrEqual(t, len(h.All(h.now).Suspects), 512)
}

func TestDecisionTakesLittleWhileNothingIsSuspected(t *testing.T) {
	h := newHistory()
	parts := []string{"first", "second"}
	require.Zero(t, testing.AllocsPerRun(100, func() { h.Check(h.now, service, parts) }))
	h.prove(parts...)
	require.Zero(t, testing.AllocsPerRun(100, func() { h.prove(parts...) }))
}

// Many processes end for another reason while a request ends one after the other: it is refused after the third all the same.
func TestRequestIsRefusedAfterItsThirdEndBesideManyOthers(t *testing.T) {
	t.Parallel()
	h := newHistory()
	whole := quarantine.WholeRequest("r")
	sent := 0
	for ; sent < 10; sent++ {
		request := fmt.Sprint("try-", sent)
		answer := h.RequestTrial(h.now, request, service, []string{whole})
		if answer == quarantine.TrialRefused {
			break
		}
		h.end(answer == quarantine.TrialGranted, whole)
		h.EndTrial(request)
		for range 10 {
			h.pass(20 * time.Millisecond)
			h.end(false, quarantine.WholeRequest(fmt.Sprint("other-", h.ends)))
		}
	}
	require.Equal(t, maxRequestEnds, sent)
}

// An endpoint starts again and ends under the same request before a node has read its new entry: that is another end.
func TestEndOfAnEndpointsNextProcessCounts(t *testing.T) {
	t.Parallel()
	h := newHistory()
	whole := quarantine.WholeRequest("r")
	h.endOf("e1", false, whole)
	h.pass(200 * time.Millisecond)
	h.endOf("e2", true, whole)
	h.pass(50 * time.Millisecond)
	h.endOf("e2", true, whole) // another node tells of the same end
	require.Equal(t, quarantine.Trial, h.verdict(whole), "two ended")
	h.pass(2300 * time.Millisecond)
	h.endOf("e2", true, whole)
	require.Equal(t, quarantine.Refuse, h.verdict(whole), "three ended")
}
