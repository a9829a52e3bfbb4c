package redwinghall

import "time"

// Outcome says whether a caller's request was executed.
type Outcome string

// The outcomes of a request.
const (
	// NotRun means that no endpoint started the request, and none will.
	NotRun Outcome = "not_run"
	// Ran means that an endpoint executed the request.
	Ran Outcome = "ran"
	// OutcomeUnknown means that the request may have been executed. It will
	// not be sent again.
	OutcomeUnknown Outcome = "outcome_unknown"
	// NoRequest is the outcome of codes that only operators receive.
	NoRequest Outcome = "no_request"
)

// Code is a stable name of a refusal, an error or a state.
type Code string

// The codes. Error responses to callers, rwhctl explain and docs/CODES.md are
// generated from the descriptions that Codes returns.
const (
	CodeBadRequest         Code = "bad_request"
	CodeTooLarge           Code = "too_large"
	CodeUnknownKey         Code = "unknown_key"
	CodeNotAllowed         Code = "not_allowed"
	CodeUnknownModel       Code = "unknown_model"
	CodeUnknownService     Code = "unknown_service"
	CodeUnknownPath        Code = "unknown_path"
	CodeKeyRequired        Code = "idempotency_key_required"
	CodeKeyReused          Code = "idempotency_key_reused"
	CodeInProgress         Code = "in_progress"
	CodeOutcomeUnknown     Code = "outcome_unknown"
	CodeClaimsUnavailable  Code = "claims_unavailable"
	CodeQueueFull          Code = "queue_full"
	CodeDeadlineTooShort   Code = "deadline_too_short"
	CodeDeadlinePassed     Code = "deadline_passed"
	CodeNoCapacity         Code = "no_capacity"
	CodeNoManifest         Code = "no_manifest"
	CodeEndpointFailed     Code = "endpoint_failed"
	CodeAnswerIncomplete   Code = "answer_incomplete"
	CodeShuttingDown       Code = "shutting_down"
	CodeTooManyConnections Code = "too_many_requests_in_progress"

	CodeManifestInvalid   Code = "manifest_invalid"
	CodeManifestRace      Code = "manifest_race"
	CodeZoneRace          Code = "zone_race"
	CodeZoneUnknown       Code = "zone_unknown"
	CodeTableUnavailable  Code = "table_unavailable"
	CodeResultUnknown     Code = "result_unknown"
	CodeOperatorForbidden Code = "operator_forbidden"
	CodeAccepted          Code = "accepted"
	CodeSettingsInvalid   Code = "settings_invalid"

	CodeControllerUnreachable Code = "controller_unreachable"
)

// CodeInfo describes a code to callers and operators.
type CodeInfo struct {
	Code       Code
	HTTPStatus int
	Outcome    Outcome
	Message    string // one sentence
	Cause      string
	NextStep   string
	RetryAfter time.Duration // zero means that the same request must not be retried
}

// Codes returns all codes in the order of the documentation.
func Codes() []CodeInfo { return append([]CodeInfo(nil), codes...) }

// Info returns the description of the code; ok is false if the code does not
// exist.
func (c Code) Info() (info CodeInfo, ok bool) {
	for _, one := range codes {
		if one.Code == c {
			return one, true
		}
	}
	return CodeInfo{}, false
}

var codes = []CodeInfo{
	{CodeBadRequest, 400, NotRun, "The request is not well formed.", "The body, a header or the path does not have the documented form.", "Correct the request. The message names the part that is wrong.", 0},
	{CodeTooLarge, 413, NotRun, "The request is too large.", "The body is larger than the router's max_body_bytes.", "Send a smaller body.", 0},
	{CodeUnknownKey, 401, NotRun, "The API key is not known.", "The Authorization header is missing, or its key belongs to no client account in the manifest in force.", "Send a valid key as 'Authorization: Bearer KEY'.", 0},
	{CodeNotAllowed, 403, NotRun, "This client account may not use this model or service.", "The manifest does not list the client account for it.", "Ask the operator to add the client account.", 0},
	{CodeUnknownModel, 404, NotRun, "The model is not known.", "The manifest in force has no model of this name.", "Check the name of the model.", 0},
	{CodeUnknownService, 404, NotRun, "The service is not known.", "The manifest in force has no service of this name.", "Check the name of the service.", 0},
	{CodeUnknownPath, 404, NotRun, "There is nothing at this path.", "The path or the method is not one that the router serves.", "Check the path and the method.", 0},
	{CodeKeyRequired, 400, NotRun, "This call needs an Idempotency-Key header.", "Calls that change something in this service must run at most once.", "Send a new key for each new operation, and the same key with each retry of it.", 0},
	{CodeKeyReused, 422, NotRun, "This Idempotency-Key was used with another request.", "The method, path or body differs from the first request with this key.", "Use a new key for a new operation.", 0},
	{CodeInProgress, 409, OutcomeUnknown, "A request with this Idempotency-Key is in progress.", "An earlier request with the same key has no recorded outcome yet.", "Send the same request with the same key after the time in Retry-After.", time.Second},
	{CodeOutcomeUnknown, 502, OutcomeUnknown, "The call was sent, and its answer did not arrive.", "The connection to the service was lost or silent after the call was sent. The call may have run. It is never sent again.", "Ask the service whether the operation exists. Do not send it with a new key before you know.", 0},
	{CodeClaimsUnavailable, 503, NotRun, "The call was not sent, because it cannot be recorded now.", "The platform's table service does not answer. Without a record the call could run twice.", "Send the same request with the same key after the time in Retry-After.", 2 * time.Second},
	{CodeQueueFull, 429, NotRun, "Too many requests of this client account are waiting.", "The client account's queue in this router is full.", "Send the request again after the time in Retry-After, and send fewer at a time.", time.Second},
	{CodeDeadlineTooShort, 503, NotRun, "The request cannot be answered within its deadline.", "The time that requests wait now is longer than the time this request has left.", "Send the request again after the time in Retry-After, or with a longer Request-Timeout.", time.Second},
	{CodeDeadlinePassed, 504, NotRun, "The deadline passed before the request was started.", "The request waited until its Request-Timeout ended.", "Send the request again, or with a longer Request-Timeout.", time.Second},
	{CodeNoCapacity, 503, NotRun, "No endpoint can take the request now.", "No whole group or service endpoint of any reachable availability zone can take it.", "Send the request again after the time in Retry-After.", time.Second},
	{CodeNoManifest, 503, NotRun, "This router has no manifest yet.", "The router has started and has not yet learned the manifest in force.", "Send the request again after the time in Retry-After.", time.Second},
	{CodeEndpointFailed, 502, OutcomeUnknown, "The endpoints failed to answer.", "Each endpoint that was tried failed, or the retry budget is spent.", "Send the request again after the time in Retry-After.", time.Second},
	{CodeAnswerIncomplete, 502, OutcomeUnknown, "The answer could not be completed.", "The endpoint failed during the answer and no other endpoint could continue it.", "Discard the part that was received and send the request again.", time.Second},
	{CodeShuttingDown, 503, NotRun, "This router is stopping.", "The router has received a stop signal.", "Send the request again; the balancer will choose another router.", time.Second},
	{CodeTooManyConnections, 503, NotRun, "This router has too many requests in progress.", "The router's max_requests limit is reached.", "Send the request again after the time in Retry-After.", time.Second},

	{CodeManifestInvalid, 422, NoRequest, "The manifest is not valid. The manifest in force stays.", "One or more fields are wrong. Each is listed with its path.", "Correct every listed field and submit again.", 0},
	{CodeManifestRace, 409, NoRequest, "Another manifest was accepted first. This one was not accepted.", "The manifest says that it replaces a generation that is no longer in force.", "Read the manifest in force, decide again, and submit with the new generation.", 0},
	{CodeZoneRace, 409, NoRequest, "Another decision on this availability zone was accepted first. This one was not accepted.", "Two operators changed the same availability zone at the same time.", "Read the status, decide again, and repeat the command if it is still wanted.", 0},
	{CodeZoneUnknown, 404, NoRequest, "The availability zone is not known.", "The manifest in force places nothing in this availability zone.", "Check the name of the availability zone.", 0},
	{CodeTableUnavailable, 503, NoRequest, "Nothing was changed, because the platform's table service does not answer.", "The table service is down or cannot be reached.", "Try again after the time in Retry-After.", 2 * time.Second},
	{CodeResultUnknown, 502, NoRequest, "It is not known whether the change was accepted.", "The table service's answer was lost, and the result could not be read back.", "Run the same command with the same --submit-id. It is accepted at most once.", 2 * time.Second},
	{CodeOperatorForbidden, 403, NoRequest, "The operator token is missing or wrong.", "The Authorization header does not carry the token from the controller's settings.", "Set the token and try again.", 0},
	{CodeControllerUnreachable, 503, NoRequest, "The controller does not answer. Nothing was sent.", "No connection to the controller's operator listener could be opened.", "Check the address, or use the controller of another entry VM.", 2 * time.Second},
	{CodeAccepted, 200, NoRequest, "The change is accepted.", "The change is recorded in the platform's table. Every availability zone receives it within seconds.", "Run 'rwhctl status' to see it in force.", 0},
	{CodeSettingsInvalid, 422, NoRequest, "The settings are not valid. Nothing was started.", "One or more fields are wrong. Each is listed with its path.", "Correct every listed field and start again.", 0},
}
