package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/fleet"
)

// workRecorder refuses nothing and keeps the work of the last request.
type workRecorder struct{ last time.Duration }

func (w *workRecorder) Limit(time.Time, redwinghall.RoomRequest) redwinghall.AdmissionLimit {
	return redwinghall.AdmissionLimit{}
}

func (w *workRecorder) Record(_ time.Time, r redwinghall.RoomRequest, _ bool) { w.last = r.Work }

// The events of an answer that was read on are recorded in larger pieces. Its length must not be learned from them, or
// later streams are expected to be short and too many are accepted.
func TestLengthOfAnAnswerThatWasReadOnIsNotLearned(t *testing.T) {
	for name, readOn := range map[string]bool{"read on": true, "taken at once": false} {
		t.Run(name, func(t *testing.T) {
			tracker, room := balance.NewTracker(), &workRecorder{}
			tracker.Admission = func(string) redwinghall.Admission { return room }
			choose := func(now time.Time) *balance.Attempt {
				choice, refusal := tracker.ChooseGroup(now, []*fleet.Endpoint{head("e1", "a", "large")}, nil, newRequest())
				require.Nil(t, refusal)
				return choice.Attempt
			}
			first := choose(start)
			usual := room.last
			require.Positive(t, usual)
			first.RecordEvent(start.Add(50*time.Millisecond), nil)
			if readOn {
				first.Cancel()
			}
			first.Done(start.Add(time.Second), true)
			choose(start.Add(2 * time.Second))
			if readOn {
				require.Equal(t, usual, room.last)
			} else {
				require.Less(t, room.last, usual)
			}
		})
	}
}
