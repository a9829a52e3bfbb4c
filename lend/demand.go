package lend

import (
	"math"
	"time"
)

// Demand is counted in periods, and its growth is that of the last second over the one before.
const (
	demandPeriod  = 250 * time.Millisecond
	periodsOfRate = int64(time.Second / demandPeriod)
	periodsKept   = 2*periodsOfRate + 1
)

// count is the number of streams that a zone's callers asked for in one period, and of
// those that found no room in their zone.
type count struct {
	period        int64
	asked, missed int
}

// demand counts the streams of the last two seconds.
type demand struct{ counts [periodsKept]count }

// record counts a stream that was asked for at a time since the start of the book.
func (d *demand) record(at time.Duration, placed bool) {
	period := int64(at / demandPeriod)
	c := &d.counts[period%periodsKept]
	if c.period != period {
		*c = count{period: period}
	}
	c.asked++
	if !placed {
		c.missed++
	}
}

// rates are the streams of the last second, and of the second before it.
type rates struct {
	asked, before float64
	missed        float64
}

// With returns the sum of two rates.
func (r rates) With(more rates) rates {
	return rates{asked: r.asked + more.asked, before: r.before + more.before, missed: r.missed + more.missed}
}

// rates returns the rates at a time. Streams without room also count in the period that
// hasn't ended, as they are sent elsewhere at once.
func (d *demand) rates(at time.Duration) rates {
	var r rates
	present := int64(at / demandPeriod)
	for _, c := range d.counts {
		switch age := present - c.period; {
		case age == 0:
			r.missed += float64(c.missed)
		case age >= 1 && age <= periodsOfRate:
			r.asked += float64(c.asked)
			if age < periodsOfRate {
				r.missed += float64(c.missed)
			}
		case age > periodsOfRate && age < periodsKept:
			r.before += float64(c.asked)
		}
	}
	return r
}

// growth returns by how much the streams of a second grow each second, less what
// chance alone may add.
func (r rates) growth() float64 {
	return max(0, r.asked-r.before-math.Sqrt(r.asked+r.before))
}

// expected returns the streams that will be asked for within a time.
func (r rates) expected(within time.Duration) float64 {
	seconds := within.Seconds()
	return (r.asked + r.growth()*(0.5+seconds/2)) * seconds
}
