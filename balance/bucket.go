package balance

import "time"

// bucket is a token bucket; the zero value is full at its first use.
type bucket struct {
	tokens float64
	at     time.Time
}

// take spends one token of a bucket that holds burst and gains rate a second.
func (b *bucket) take(now time.Time, rate, burst float64) bool {
	b.fill(now, rate, burst)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// has reports whether a token could be taken.
func (b *bucket) has(now time.Time, rate, burst float64) bool {
	b.fill(now, rate, burst)
	return b.tokens >= 1
}

func (b *bucket) fill(now time.Time, rate, burst float64) {
	if b.at.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}
