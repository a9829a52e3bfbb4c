package balance

import "time"

// bucket is a token bucket. The zero value is full at its first use.
type bucket struct {
	tokens   float64
	filledAt time.Time
}

// take takes one token from a bucket of size burst that refills at rate per second.
func (b *bucket) take(now time.Time, rate, burst float64) bool {
	b.fill(now, rate, burst)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// has reports whether a token is available.
func (b *bucket) has(now time.Time, rate, burst float64) bool {
	b.fill(now, rate, burst)
	return b.tokens >= 1
}

func (b *bucket) fill(now time.Time, rate, burst float64) {
	if b.filledAt.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.filledAt).Seconds())
	}
	b.filledAt = now
}
