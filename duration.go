package redwinghall

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// Duration is a time.Duration that JSON writes as text, such as "1.5s".
type Duration time.Duration

// Seconds returns the duration as the header Retry-After wants it: in whole
// seconds, rounded up, at least one.
func (d Duration) Seconds() string {
	seconds := (time.Duration(d) + time.Second - 1) / time.Second
	return strconv.Itoa(max(1, int(seconds)))
}

// MarshalJSON writes the duration as Go's duration text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads Go's duration text; a bare number is refused because it
// carries no unit.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("want a duration as text, such as \"1.5s\"")
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("want a duration, such as \"1.5s\"")
	}
	*d = Duration(v)
	return nil
}

// Std returns the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }
