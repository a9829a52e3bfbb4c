package balance

import (
	"time"
)

// plainTail is how many times the usual time of a plain service its longest
// calls take.
const plainTail = 8

// longest returns how long the longest answer takes that the request may get,
// 0 if that isn't known: of streams only those of an engine say how long they
// are.
func (a Ask) longest(c *candidate) time.Duration {
	engine := a.Service.Engine
	switch {
	case engine == nil && a.Stream:
		return 0
	case engine == nil:
		return plainTail * c.predicted
	case a.Answer <= 0 || engine.Stride <= 0:
		return 0
	}
	passes := (a.Answer + engine.Stride - 1) / engine.Stride
	return c.predicted + time.Duration(passes)*NewPace(engine, a.Model, max(1, c.state.slowdown)).Pass(c.running+1, 0)
}
