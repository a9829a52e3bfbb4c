package formation_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/platform"
)

// Order implements fleet.Orderer.
func (f *fakeZone) Order(_ context.Context, e *fleet.Endpoint, o fleet.Order) (fleet.Outcome, error) {
	time.Sleep(3 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.reach(e)
	switch {
	case redwinghall.KindOf[platform.Kind](err) == platform.NoAnswer:
		return fleet.Unanswered, err
	case err != nil:
		return fleet.Refused, err
	case o.Kind == w.ignores:
		return fleet.Unanswered, redwinghall.NewOpError("fakeZone.Order", platform.NoAnswer, errUnreachable)
	}
	if f.random.Float64() < f.lossRate {
		f.record(w, "gets no answer for", o)
		f.carryOutLate(w, o)
		return fleet.Unanswered, redwinghall.NewOpError("fakeZone.Order", platform.NoAnswer, errUnreachable)
	}
	if f.repeatRate > 0 && f.random.Float64() < f.repeatRate {
		f.carryOutLate(w, o)
	}
	if o.Kind == fleet.OrderJoin && !w.refusesCount(o) && w.Member.Group == o.Group && w.Member.Epoch == o.Epoch {
		return fleet.Done, nil
	}
	f.record(w, "answers", o)
	if f.carryOut(w, o) {
		if o.Kind == fleet.OrderOpen {
			return fleet.Done, nil
		}
		return fleet.Begun, nil
	}
	return fleet.Refused, redwinghall.NewOpError("fakeZone.Order", platform.NoAnswer, errUnreachable)
}

// carryOutLate makes an endpoint's process carry an order out 2 to 12 s later.
func (f *fakeZone) carryOutLate(w *fakeEndpoint, o fleet.Order) {
	late, startedMillis := 2*time.Second+time.Duration(f.random.Float64()*10*float64(time.Second)), w.StartedMillis
	time.AfterFunc(late, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.dead && w.StartedMillis == startedMillis {
			f.record(w, "carries out late", o)
			f.carryOut(w, o)
		}
	})
}

// record adds what happened to an order to an endpoint's history.
func (f *fakeZone) record(w *fakeEndpoint, what string, o fleet.Order) {
	line := fmt.Sprintf("%s %s %s %s %s (is in %q, %s)", time.Now().Format("04:05.000"), w.ID, what, o.Kind, o.Group, w.Member.Group, w.Member.State)
	f.history[w.ID] = append(f.history[w.ID], line)
}

// carryOut makes an endpoint carry out an order, unless it doesn't fit its state or the
// endpoint has accepted another number of orders than the order expects.
func (f *fakeZone) carryOut(w *fakeEndpoint, o fleet.Order) bool {
	if w.refusesCount(o) {
		return false
	}
	before := w.Member
	done := f.apply(w, o)
	if done && (o.Kind != fleet.OrderJoin || w.Member != before) {
		w.orders++
		w.noteReport(time.Now())
	}
	return done
}

// refusesCount reports whether an order expects another number of accepted orders.
func (w *fakeEndpoint) refusesCount(o fleet.Order) bool {
	return o.Expected.Known && o.Expected.Count != w.orders
}

func (f *fakeZone) apply(w *fakeEndpoint, o fleet.Order) bool {
	switch o.Kind {
	case fleet.OrderJoin:
		return f.join(w, o)
	case fleet.OrderStage:
		return f.stage(w, o)
	}
	if w.Member.Group != o.Group || w.Member.Epoch != o.Epoch {
		return false
	}
	done := false
	switch o.Kind {
	case fleet.OrderOpen:
		done = f.open(w)
	case fleet.OrderClose:
		done = w.Member.State == fleet.Open || w.Member.State == fleet.Closing || w.opening
		w.opening = false
		if o.Cancel {
			f.cancelled = append(f.cancelled, o.Group)
		}
		if done {
			w.Member.State = fleet.Ready
		}
	case fleet.OrderLeave:
		w.Member, w.members, w.opening, done = fleet.Membership{}, nil, false, true
		f.left++
	case fleet.OrderJoin, fleet.OrderStage:
	}
	if done {
		f.publishEntry(w)
	}
	return done
}

func (f *fakeZone) open(w *fakeEndpoint) bool {
	if f.refuseOpen || w.Member.Rank != 0 || w.Member.State != fleet.Ready {
		return false
	}
	f.checkMembersReady(w)
	w.opening = true
	group := w.Member.Group
	time.AfterFunc(f.engine.FormationTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.opening && w.Member.Group == group && !w.dead {
			w.Member.State, w.opening = fleet.Open, false
			f.publishEntry(w)
		}
	})
	return true
}

func (f *fakeZone) join(w *fakeEndpoint, o fleet.Order) bool {
	if o.Epoch < w.highestEpoch {
		return false
	}
	if w.Member.Group == o.Group && w.Member.Epoch == o.Epoch {
		return true // already a member
	}
	f.checkOldHead(w, o)
	f.joins++
	w.highestEpoch = o.Epoch
	model, _ := f.engine.Model(o.Model)
	took := model.Load
	switch {
	case w.lastModel == o.Model:
		took = 200 * time.Millisecond
	case w.HasStaged(o.Model):
		took = model.Warm
	default:
		f.loads++
	}
	w.Member, w.opening = fleet.Membership{Group: o.Group, Epoch: o.Epoch, State: fleet.Joining}, false
	for rank, id := range o.Members {
		if id == w.ID {
			w.Member.Rank = rank
		}
	}
	w.members, w.lastModel = o.Members, o.Model
	w.Models = nil
	f.publishEntry(w)
	time.AfterFunc(took, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.Member.Group == o.Group && w.Member.State == fleet.Joining && !w.dead {
			w.Member.State = fleet.Ready
			f.noteReady(o.Group, w.ID)
			w.Models, w.Staged = []string{o.Model}, []string{o.Model}
			f.publishEntry(w)
		}
	})
	return true
}

// stage makes an endpoint stage a model in host memory while it serves.
func (f *fakeZone) stage(w *fakeEndpoint, o fleet.Order) bool {
	model, known := f.engine.Model(o.Model)
	if !known || o.Group != "" || o.Epoch != 0 {
		return false
	}
	f.staged++
	startedMillis := w.StartedMillis
	time.AfterFunc(model.Load, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.dead && w.StartedMillis == startedMillis {
			w.Staged = []string{o.Model}
			f.publishEntry(w)
		}
	})
	return true
}

func (f *fakeZone) noteReady(group, id string) {
	if f.ready[group] == nil {
		f.ready[group] = map[string]bool{}
	}
	f.ready[group][id] = true
}

// checkMembersReady records a violation if a group opens with a member that was never
// ready in it. One that was ready and has left since may have been removed by a late
// order.
func (f *fakeZone) checkMembersReady(head *fakeEndpoint) {
	for _, id := range head.members {
		if !f.ready[head.Member.Group][id] {
			f.violations = append(f.violations, fmt.Sprintf("%s opened while %s was never ready", head.Member.Group, id))
		}
	}
}

// checkOldHead records a violation if a member joins another group while the head of
// its old one is open.
func (f *fakeZone) checkOldHead(w *fakeEndpoint, o fleet.Order) {
	if w.Member.Group == "" || w.Member.Group == o.Group || len(w.members) < 2 {
		return
	}
	head := f.workers[w.members[0]]
	if head != nil && !head.dead && head.Member.Group == w.Member.Group && (head.Member.State == fleet.Open || head.opening) {
		violation := fmt.Sprintf("%s joined %s while %s was open", w.ID, o.Group, w.Member.Group)
		const shown = 12 // orders
		for _, id := range []string{w.ID, head.ID} {
			lines := f.history[id]
			violation += "\n" + strings.Join(lines[max(0, len(lines)-shown):], "\n")
		}
		f.violations, f.doubleMembers = append(f.violations, violation), append(f.doubleMembers, violation)
	}
}
