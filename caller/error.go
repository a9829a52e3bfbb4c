package caller

import (
	"encoding/json"
	"net/http"

	"redwinghall"
)

// Error is a failed request; its kind is the code in the response to the caller.
type Error = redwinghall.OpError[redwinghall.Code]

// Refusal is the body of every error response to a caller.
type Refusal struct {
	Error RefusalBody `json:"error"`
}

// RefusalBody describes the error and whether the request may be retried.
type RefusalBody struct {
	Code       redwinghall.Code     `json:"code"`
	Message    string               `json:"message"`
	Outcome    redwinghall.Outcome  `json:"outcome"`
	RetryAfter redwinghall.Duration `json:"retry_after"` // "0s" means that the request must not be retried
	RequestID  string               `json:"request_id"`
	Detail     string               `json:"detail,omitempty"`
}

// newRefusal returns the body and the HTTP status for a code.
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

// write sends the refusal as the response.
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
	_, _ = w.Write(data) // the caller may have disconnected
}
