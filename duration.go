package redwinghall

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "1.5s".
type Duration time.Duration

// Seconds returns the duration as a value of the Retry-After header: whole
// seconds, rounded up, at least one.
func (d Duration) Seconds() string {
	seconds := (time.Duration(d) + time.Second - 1) / time.Second
	return strconv.Itoa(max(1, int(seconds)))
}

// MarshalJSON encodes the duration in the format of time.Duration.String.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string in the format of time.ParseDuration. A number
// is rejected because it has no unit.
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

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
