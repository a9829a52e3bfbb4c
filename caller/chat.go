package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwinghall"
	"redwinghall/route"
)

// chatRequest holds the fields of a chat completion request that the router uses.
type chatRequest struct {
	Model    string            `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
}

// chat serves POST /v1/chat/completions.
func (s *Server) chat(ctx context.Context, w http.ResponseWriter, r *request) error {
	req, err := parseChat(r.body)
	if err != nil {
		return err
	}
	model, ok := r.view.Models[req.Model]
	if !ok {
		return redwinghall.NewOpError("Server.chat", redwinghall.CodeUnknownModel, nil)
	}
	if !model.Model.Allows(r.account.ID) {
		return redwinghall.NewOpError("Server.chat", redwinghall.CodeNotAllowed, nil)
	}
	body, err := streamingBody(r.body, req.Stream)
	if err != nil {
		return err
	}
	sink, err := s.newSink(w, r, req)
	if err != nil {
		return err
	}
	s.budget.RecordRequest()
	relay := &relay{server: s, request: r, model: model, body: body, sink: sink,
		sequence: newSequence(r.id, sink.position())}
	return relay.run(ctx, prefixOf(req))
}

func parseChat(body []byte) (chatRequest, error) {
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return req, redwinghall.NewOpError("parseChat", redwinghall.CodeBadRequest, detail("the body is not a chat completion in JSON"))
	}
	if req.Model == "" {
		return req, redwinghall.NewOpError("parseChat", redwinghall.CodeBadRequest, detail("the field model is missing"))
	}
	if len(req.Messages) == 0 {
		return req, redwinghall.NewOpError("parseChat", redwinghall.CodeBadRequest, detail("the field messages is missing or empty"))
	}
	return req, nil
}

// streamingBody returns the body with "stream" set to true. Requests to endpoints
// always ask for a stream, because only a stream shows progress and can be resumed.
func streamingBody(body []byte, alreadyStream bool) ([]byte, error) {
	if alreadyStream {
		return body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, redwinghall.NewOpError("streamingBody", redwinghall.CodeBadRequest, detail("the body is not an object"))
	}
	fields["stream"] = json.RawMessage("true")
	out, err := json.Marshal(fields)
	if err != nil {
		return nil, redwinghall.NewOpError("streamingBody", redwinghall.CodeBadRequest, err)
	}
	return out, nil
}

// prefixOf returns a hash of the first message of the prompt, which similar
// conversations have in common.
func prefixOf(req chatRequest) uint64 { return xxhash.Sum64(req.Messages[0]) }

// acquireBackend waits for capacity in a group of the model. It returns an error at
// once if no group is usable.
func (s *Server) acquireBackend(ctx context.Context, r *request, model *route.ModelView, prefix uint64) (*route.Backend, error) {
	now := time.Now()
	if s.selector.CountUsable(model.Model.ID, now) == 0 {
		return nil, redwinghall.NewOpError("Server.acquireBackend", redwinghall.CodeNoCapacity, nil)
	}
	defer func() { observe(r.series.queue, time.Since(now)) }()
	if model.Gate.Waiting() == 0 {
		if backend := s.selector.PickPrefix(model.Model.ID, now, prefix); backend != nil {
			return backend, nil
		}
	}
	return model.Gate.Acquire(ctx, now, r.account)
}
