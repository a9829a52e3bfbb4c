package lend

import "time"

// DefaultPrice is the price of a kibibyte that crosses the border of a zone, as the time by
// which a caller has to be served sooner for it.
const DefaultPrice = 6 * time.Millisecond

// Mean sizes of a token in a request and in the events of an answer, with their framing.
const (
	bytesPerPromptToken = 4
	bytesPerAnswerToken = 24
	bytesPerKiB         = 1024
)

// returnTime is how long a refused caller waits at least before it returns.
const returnTime = 300 * time.Millisecond

// Stream describes a stream that its own zone can't serve in time.
type Stream struct {
	Model     Model
	Urgency   int // 0 is the most urgent
	Objective time.Duration
	Prompt    int // tokens
	Answer    int // expected tokens
	// Here is the predicted time to the first event in its own zone, 0 if the zone has no
	// group that serves the model.
	Here time.Duration
}

// Bytes estimates the bytes of the request and its answer.
func (s Stream) Bytes() int {
	return s.Prompt*bytesPerPromptToken + s.Answer*bytesPerAnswerToken
}

// Away is what is known about another zone.
type Away struct {
	FirstEvent time.Duration // predicted time to the first event there
	Age        time.Duration // of the loads that the prediction is based on
	RoundTrip  time.Duration // to that zone
}

// Gain returns how much sooner a caller gets its first event in another zone than by coming
// back to its own one. The queue there may have grown since its loads were shared, by at
// most a second each second.
func Gain(here time.Duration, there Away) time.Duration {
	return returnTime + here - there.FirstEvent - there.Age - there.RoundTrip
}

// Pays reports whether a gain is worth the bytes that cross the border.
func Pays(gain time.Duration, bytes int, price time.Duration) bool {
	return gain > 0 && gain >= price*time.Duration(bytes)/bytesPerKiB
}
