package gateway

import "time"

// HeldLimit, RequestCeiling and BodyCeiling are the bounds on what requests hold.
var HeldLimit = Limit

// RequestCeiling returns up to how much may be held for one more request.
func RequestCeiling(limit int64, urgency int) int64 { return Ceiling(limit, Requests, urgency) }

// BodyCeiling returns up to how much may be held for a body that grows.
func BodyCeiling(limit int64, urgency int) int64 { return Ceiling(limit, Bodies, urgency) }

// AnswerCeiling returns up to how much may be held for an answer that has begun.
func AnswerCeiling(limit int64, urgency int) int64 { return Ceiling(limit, Answers, urgency) }

// BodyPace tells how long a body may take.
type BodyPace struct{ pace bodyPace }

// NewBodyPace returns the pace of a body that begins.
func NewBodyPace(now time.Time) *BodyPace { return &BodyPace{newBodyPace(now)} }

// Record records that n bytes came.
func (p *BodyPace) Record(now time.Time, n int) { p.pace.record(now, n) }

// Until returns when the body counts as standing still.
func (p *BodyPace) Until(pressed bool) time.Time { return p.pace.until(pressed) }

// Identity returns what a request and its caller's repeats have in common.
func Identity(r *Request) string { return r.identity() }
