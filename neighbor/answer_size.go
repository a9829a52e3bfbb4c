package neighbor

import (
	"context"
	"net/http"
)

// The largest answers of other nodes. The generated clients read an answer whole, whatever comes.
const (
	// maxShortAnswer is for the calls that a node makes for each request of a caller, or many at once.
	maxShortAnswer = 16 << 10
	// maxTrialAnswer bounds the answer with the suspected parts of one request, and maxTrialReport the report of them.
	// Requests that wait for a trial are few.
	maxTrialAnswer = 128 << 10
	maxTrialReport = maxTrialAnswer - 1<<10
	// maxReportAnswer is for loads, loans and whole tables of the quarantine, of which a node asks few others at a time.
	maxReportAnswer = 768 << 10
	// maxRowsAnswer is for compressed rows, which a node reads once for each table at a time.
	maxRowsAnswer = 1400 << 10
	// maxAnswers is how much memory all answers may take that are being read.
	maxAnswers = 9 << 20
	// maxCallHeadBytes is for the head of an answer, which has no headers but those of net/http.
	maxCallHeadBytes = 8 << 10
)

type answerSizeKey struct{}

// withAnswerSize returns a context for one call whose answer may have up to a number of bytes.
func withAnswerSize(ctx context.Context, most int64) context.Context {
	return context.WithValue(ctx, answerSizeKey{}, most)
}

// answerSize returns how large the answer of a call may be.
func answerSize(ctx context.Context) int64 {
	if most, ok := ctx.Value(answerSizeKey{}).(int64); ok {
		return most
	}
	return maxShortAnswer
}

// sizedTransport reads answers whole, and ends those that are too large or take too much memory together with an error.
type sizedTransport struct {
	memory *bodyMemory
	*answeringTransport
}

// RoundTrip implements http.RoundTripper.
func (t sizedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.answeringTransport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	most := answerSize(request.Context())
	if response.StatusCode != http.StatusOK {
		most = maxShortAnswer
	}
	whole, err := t.memory.read(response.Body, most, 0)
	if err != nil {
		return nil, err
	}
	answer := *response
	answer.Body = whole
	return &answer, nil
}
