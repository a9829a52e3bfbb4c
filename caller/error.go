package caller

import (
	"encoding/json"
	"net/http"

	"redwinghall"
)

// Error is a failed request; its kind is the code that the caller reads.
type Error = redwinghall.OpError[redwinghall.Code]

// Refusal is the body of every error that a caller receives.
type Refusal struct {
	Error RefusalBody `json:"error"`
}

// RefusalBody says what happened and what to do next.
type RefusalBody struct {
	Code       redwinghall.Code     `json:"code"`
	Message    string               `json:"message"`
	Outcome    redwinghall.Outcome  `json:"outcome"`
	RetryAfter redwinghall.Duration `json:"retry_after"` // "0s": do not retry
	RequestID  string               `json:"request_id"`
	Detail     string               `json:"detail,omitempty"`
}

// newRefusal builds the body from the table of codes.
func newRefusal(code redwinghall.Code, requestID, detail string) (RefusalBody, int) {
	info, ok := code.Info()
	if !ok {
		info, _ = redwinghall.CodeEndpointFailed.Info()
	}
	return RefusalBody{
		Code: info.Code, Message: info.Message, Outcome: info.Outcome,
		RetryAfter: redwinghall.Duration(info.RetryAfter), RequestID: requestID, Detail: detail,
	}, info.HTTPStatus
}

// write sends the refusal as the whole answer.
func (b RefusalBody) write(w http.ResponseWriter, status int) {
	data, err := json.Marshal(Refusal{Error: b})
	if err != nil {
		http.Error(w, string(b.Code), status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if b.RetryAfter > 0 {
		w.Header().Set("Retry-After", b.RetryAfter.Seconds())
	}
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may be gone
}
