package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/admission"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const work = 50 * time.Millisecond

func request(account string, urgency int) redwinghall.RoomRequest {
	return redwinghall.RoomRequest{
		Service: "llm", Model: "small", Account: account, Urgency: urgency, Objective: 300 * time.Millisecond, Work: work, Groups: 4,
	}
}

// record records requests at a rate for some time, of which one in a number is refused, 0
// for none.
func record(room *admission.Room, from time.Time, lasts time.Duration, perSecond int, r redwinghall.RoomRequest, oneRefusedIn int) {
	for i := range int(lasts.Seconds() * float64(perSecond)) {
		at := from.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		room.Record(at, r, oneRefusedIn == 0 || i%oneRefusedIn != 0)
	}
}

func TestLessUrgentRequestsHaveALowerLimit(t *testing.T) {
	room := admission.NewRoom()
	require.Equal(t, 800*time.Millisecond, room.Limit(start, withObjective(request("a", 2), 800)).Predicted)
	record(room, start, time.Second, 20, request("a", 1), 0)
	record(room, start, time.Second, 20, withObjective(request("a", 0), 200), 0)
	now := start.Add(time.Second)
	last := redwinghall.AdmissionLimit{Predicted: time.Hour}
	for urgency := range 4 {
		limit := room.Limit(now, withObjective(request("a", urgency), 800))
		require.LessOrEqual(t, limit.Predicted, last.Predicted)
		require.GreaterOrEqual(t, limit.Ahead, last.Ahead)
		last = limit
	}
	require.Equal(t, 200*time.Millisecond, last.Predicted)
	require.Equal(t, redwinghall.LimitUrgency, last.Reason)
	require.Empty(t, room.Limit(now, request("a", 0)).Reason)
}

func withObjective(r redwinghall.RoomRequest, milliseconds int) redwinghall.RoomRequest {
	r.Objective = time.Duration(milliseconds) * time.Millisecond
	return r
}

// Urgent requests ended some time ago; the next ones get the room back.
func TestLimitEndsWithTheUrgentRequests(t *testing.T) {
	room := admission.NewRoom()
	record(room, start, time.Second, 20, request("a", 0), 0)
	require.NotEmpty(t, room.Limit(start.Add(2*time.Second), request("a", 1)).Reason)
	require.Empty(t, room.Limit(start.Add(20*time.Second), request("a", 1)).Reason)
}

// Only while room is short is an account limited, and only one over its due.
func TestAccountOverItsDueIsLimitedWhileRoomIsShort(t *testing.T) {
	room := admission.NewRoom()
	record(room, start, 2*time.Second, 100, request("heavy", 0), 0)
	record(room, start, 2*time.Second, 10, request("light", 0), 0)
	now := start.Add(2 * time.Second)
	require.Empty(t, room.Limit(now, request("heavy", 0)).Reason)
	record(room, now, time.Second, 100, request("heavy", 0), 3)
	record(room, now, time.Second, 10, request("light", 0), 0)
	now = now.Add(time.Second)
	limit := room.Limit(now, request("heavy", 0))
	require.Equal(t, redwinghall.LimitAccount, limit.Reason)
	require.Greater(t, limit.Asked, limit.Due)
	require.Empty(t, room.Limit(now, request("light", 0)).Reason)
	require.Empty(t, room.Limit(now, request("new", 0)).Reason)
	require.Empty(t, room.Limit(now.Add(3*time.Second), request("heavy", 0)).Reason)
}

// What an account got in another zone, or at another node, counts here.
func TestUsesOfOthersCount(t *testing.T) {
	here, there := admission.NewRoom(), admission.NewRoom()
	record(there, start, 2*time.Second, 100, request("heavy", 0), 3)
	record(here, start, 2*time.Second, 40, request("heavy", 0), 3)
	record(here, start, 2*time.Second, 40, request("other", 0), 3)
	now := start.Add(2 * time.Second)
	here.SetReport(now, "zone b", true, there.ZoneUses(now, 24))
	require.Equal(t, redwinghall.LimitAccount, here.Limit(now, request("heavy", 0)).Reason)
	require.Empty(t, here.Limit(now, request("other", 0)).Reason)
}

// A zone is cut off from the one where an account got its room. What is known decays; after
// seconds only what the accounts get here counts.
func TestZoneCutOffForgetsOthers(t *testing.T) {
	here, there := admission.NewRoom(), admission.NewRoom()
	record(there, start, 2*time.Second, 200, request("heavy", 0), 3)
	now := start.Add(2 * time.Second)
	here.SetReport(now, "zone b", true, there.ZoneUses(now, 24))
	share := func(from time.Time, lasts time.Duration) {
		for i := range int(lasts.Milliseconds() / 10) {
			at := from.Add(time.Duration(i) * 10 * time.Millisecond)
			here.Record(at, request("heavy", 0), i%4 == 0)
			here.Record(at, request("other", 0), i%4 != 0)
		}
	}
	share(now, 250*time.Millisecond)
	now = now.Add(250 * time.Millisecond)
	require.Equal(t, redwinghall.LimitAccount, here.Limit(now, request("heavy", 0)).Reason)
	require.Empty(t, here.Limit(now, request("other", 0)).Reason)
	share(now, 4*time.Second)
	now = now.Add(4 * time.Second)
	require.Empty(t, here.Limit(now, request("heavy", 0)).Reason)
	require.Equal(t, redwinghall.LimitAccount, here.Limit(now, request("other", 0)).Reason)
}

// The next dispatcher has the counts that the last one sent it, and decides alike.
func TestNextDispatcherHasTheCounts(t *testing.T) {
	first, second := admission.NewRoom(), admission.NewRoom()
	record(first, start, 2*time.Second, 100, request("heavy", 0), 3)
	record(first, start, 2*time.Second, 10, request("light", 0), 0)
	now := start.Add(2 * time.Second)
	second.SetReport(now, "zone", false, first.UsesExcept(now, "n2", 24))
	now = now.Add(250 * time.Millisecond)
	second.Record(now, request("heavy", 0), false)
	require.Equal(t, redwinghall.LimitAccount, second.Limit(now, request("heavy", 0)).Reason)
	require.Empty(t, second.Limit(now, request("light", 0)).Reason)
}

// What a node reports takes the place of what it reported before, and it isn't told its own
// counts again.
func TestReportReplacesTheLastOne(t *testing.T) {
	here, there := admission.NewRoom(), admission.NewRoom()
	record(there, start, time.Second, 100, request("heavy", 0), 3)
	record(here, start, time.Second, 40, request("own", 0), 3)
	now := start.Add(time.Second)
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		here.SetReport(now, "n2", false, there.OwnUses(now, 24))
	}
	told, uses := there.OwnUses(now, 24), here.ZoneUses(now, 24)
	require.Len(t, uses, 2)
	require.InDelta(t, told[0].Asked.Seconds(), uses[0].Asked.Seconds(), 0.001)
	except := here.UsesExcept(now, "n2", 24)
	require.Len(t, except, 1)
	require.Equal(t, "own", except[0].Account)
	require.Len(t, here.UsesExcept(now, "n3", 24), 2)
	require.Empty(t, here.PlainUsesExcept(now, "n3", 24))
	here.SetReport(now, "n2", false, nil)
	require.Len(t, here.ZoneUses(now, 24), 1)
	here.SetReport(now, "n2", false, told)
	now = now.Add(2900 * time.Millisecond)
	record(here, now, 50*time.Millisecond, 40, request("own", 0), 1)
	now = now.Add(200 * time.Millisecond)
	require.Len(t, here.ZoneUses(now, 24), 1, "the report is too old")
}

func TestReportsAreBoundedAndLargestFirst(t *testing.T) {
	room := admission.NewRoom()
	for i := range 100 {
		record(room, start, time.Second, 1+i, request(fmt.Sprint("account-", i), 0), 5)
	}
	uses := room.OwnUses(start.Add(time.Second), 24)
	require.Len(t, uses, 24)
	require.Equal(t, "account-99", uses[0].Account)
	room.Forget(start.Add(time.Minute))
	require.Empty(t, room.OwnUses(start.Add(time.Minute), 24))
}

// Nodes whose room isn't short report nothing of their own, and don't keep each other
// reporting; the collecting node passes on what it was told.
func TestReportsEndWithTheShortage(t *testing.T) {
	first, collecting := admission.NewRoom(), admission.NewRoom()
	record(first, start, time.Second, 20, request("a", 0), 5)
	record(collecting, start, time.Second, 20, request("a", 0), 0)
	now := start.Add(time.Second)
	require.Empty(t, collecting.OwnUses(now, 24))
	require.Empty(t, collecting.ZoneUses(now, 24))
	for range 20 {
		collecting.SetReport(now, "first", false, first.OwnUses(now, 24))
		if now.Sub(start) < 2*time.Second {
			require.Len(t, collecting.ZoneUses(now, 24), 1)
		}
		first.SetReport(now, "collecting", false, collecting.UsesExcept(now, "first", 24))
		now = now.Add(250 * time.Millisecond)
	}
	require.Empty(t, first.OwnUses(now, 24))
	require.Empty(t, collecting.ZoneUses(now, 24))
}

func BenchmarkLimit(b *testing.B) {
	room := admission.NewRoom()
	for i := range 100 {
		record(room, start, time.Second, 20, request(fmt.Sprint("account-", i), i%3), 4)
	}
	one := request("account-7", 2)
	b.ResetTimer()
	for i := range b.N {
		now := start.Add(time.Second + time.Duration(i)*100*time.Microsecond)
		room.Record(now, one, i%5 != 0)
		room.Limit(now, one)
	}
}
