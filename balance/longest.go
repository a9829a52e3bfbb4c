package balance

import (
	"time"
)

// longestAnswer predicts the time to the end of the longest answer that a stream of
// an engine may get. It returns 0 if that is unknown, as for services without an
// engine, whose requests don't limit the length of the answer.
func (r Request) longestAnswer(c *candidate) time.Duration {
	engine := r.Service.Engine
	if engine == nil || r.Answer <= 0 || engine.Stride <= 0 {
		return 0
	}
	passes := (r.Answer + engine.Stride - 1) / engine.Stride
	return c.predicted + time.Duration(passes)*NewPace(engine, r.Model, max(1, c.state.slowdown)).Pass(c.running+1, 0)
}
