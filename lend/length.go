package lend

import (
	"math"
	"time"
)

const (
	// minShorter is how many times shorter than usual answers have to be to count as shorter, and
	// maxShorter the most that is believed.
	minShorter = 1.5
	maxShorter = 16
	// shorterMemory is how slowly what was seen of answers gives way to what is seen now.
	shorterMemory = 2 * time.Second
	// minInProgress is how many streams have to be in progress to tell how long answers are.
	minInProgress = 8
)

// shorter is how many times shorter than usual the answers of a model are.
type shorter struct {
	factor float64
	seenAt time.Time
}

// see records the streams that a zone's groups began in a second, given those in progress there.
func (s *shorter) see(now time.Time, began float64, room Room) {
	if room.InProgress < minInProgress || room.UsualRate <= 0 {
		return
	}
	chance := 1 + reserveDeviations/math.Sqrt(float64(room.InProgress))
	seen := max(0, began-reserveDeviations*math.Sqrt(began)) / (room.UsualRate * chance)
	if s.seenAt.IsZero() || now.Sub(s.seenAt) >= forgetAfter {
		s.factor = 1
	} else {
		part := 1 - math.Exp(-max(0, now.Sub(s.seenAt).Seconds())/shorterMemory.Seconds())
		s.factor += (min(maxShorter, seen) - s.factor) * part
	}
	s.seenAt = now
}

// times returns how many times as many streams groups serve as they would of usual length.
func (s *shorter) times(now time.Time) float64 {
	if now.Sub(s.seenAt) >= forgetAfter || s.factor < minShorter {
		return 1
	}
	return s.factor
}

// ownRoom returns the room of this zone, by how long answers are.
func (b *Book) ownRoom(now time.Time, m Model, a *account, objective time.Duration) Room {
	room := b.Room(now, b.Zone, m, objective)
	own, received := b.rates(now, a), a.received.rates(b.age(now))
	a.shorter.see(now, max(0, own.asked-own.missed)+received.asked, room)
	room.PerSecond *= a.shorter.times(now)
	return room
}

// RecordReceived records that a group of this zone took a stream of another zone.
func (b *Book) RecordReceived(now time.Time, m Model) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(m).received.record(b.age(now), true)
}
