package gateway

import (
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// minLostSilence is how long this node's streams at a lost group must have got nothing before they move. An event
// that came meanwhile shows that the news is wrong, or old.
const minLostSilence = 200 * time.Millisecond

// stallWatches are the watches of the streams in progress. The zero value is empty.
type stallWatches struct {
	mu         sync.Mutex
	byEndpoint map[string]map[*stallWatch]bool
}

func (s *stallWatches) add(w *stallWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byEndpoint == nil {
		s.byEndpoint = map[string]map[*stallWatch]bool{}
	}
	id := w.choice.Endpoint.ID
	if s.byEndpoint[id] == nil {
		s.byEndpoint[id] = map[*stallWatch]bool{}
	}
	s.byEndpoint[id][w] = true
}

func (s *stallWatches) remove(w *stallWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := w.choice.Endpoint.ID
	delete(s.byEndpoint[id], w)
	if len(s.byEndpoint[id]) == 0 {
		delete(s.byEndpoint, id)
	}
}

// at returns the watches of the streams at an endpoint.
func (s *stallWatches) at(id string) []*stallWatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	watches := make([]*stallWatch, 0, len(s.byEndpoint[id]))
	for w := range s.byEndpoint[id] {
		watches = append(watches, w)
	}
	return watches
}

// GroupLost moves the streams at the head of a group that no node gets events from and that is known to have lost a
// member. The group won't go on, so they needn't wait for silenceTolerance.
func (g *Gateway) GroupLost(now time.Time, headID string) {
	moved, kept := 0, 0
	watches := g.stallWatches.at(headID)
	for _, w := range watches {
		if w.moveFromLost(now) {
			moved++
			continue
		}
		kept++
	}
	if moved > 0 {
		g.Metrics.StreamsMoved(moved)
		klog.InfoS("streams_moved", "endpoint", headID, "moved", moved, "kept", kept)
	}
}

// moveFromLost starts the next attempt if the stream may go on elsewhere, and reports whether it did.
func (w *stallWatch) moveFromLost(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.choice.Attempt.TimeWithoutEvent(now) < minLostSilence {
		return false
	}
	return w.move(now, "group_lost")
}
