package balance

import (
	"time"
)

// longest returns how long the longest answer takes that a stream of an engine
// may get, 0 if that isn't known. Other services don't say how long theirs are.
func (a Request) longest(c *candidate) time.Duration {
	engine := a.Service.Engine
	if engine == nil || a.Answer <= 0 || engine.Stride <= 0 {
		return 0
	}
	passes := (a.Answer + engine.Stride - 1) / engine.Stride
	return c.predicted + time.Duration(passes)*NewPace(engine, a.Model, max(1, c.state.slowdown)).Pass(c.running+1, 0)
}
