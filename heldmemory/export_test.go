package heldmemory

import "time"

// BodyPace tells how long a body may take.
type BodyPace struct{ pace bodyPace }

// NewBodyPace returns the pace of a body that begins.
func NewBodyPace(now time.Time) *BodyPace { return &BodyPace{newBodyPace(now)} }

// Record records that n bytes came.
func (p *BodyPace) Record(now time.Time, n int) { p.pace.record(now, n) }

// Until returns when the body counts as standing still.
func (p *BodyPace) Until(pressed bool) time.Time { return p.pace.until(pressed) }
