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

// chatRequest is the part of a chat completion that the router reads.
type chatRequest struct {
	Model    string            `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
}

// chat serves POST /v1/chat/completions.
func (s *Server) chat(ctx context.Context, w http.ResponseWriter, r *request) error {
	asked, err := parseChat(r.body)
	if err != nil {
		return err
	}
	model, ok := r.view.Models[asked.Model]
	if !ok {
		return redwinghall.NewOpError("Server.chat", redwinghall.CodeUnknownModel, nil)
	}
	if !model.Model.Allows(r.account.ID) {
		return redwinghall.NewOpError("Server.chat", redwinghall.CodeNotAllowed, nil)
	}
	body, err := streamingBody(r.body, asked.Stream)
	if err != nil {
		return err
	}
	sink, err := s.newSink(w, r, asked)
	if err != nil {
		return err
	}
	s.budget.RecordRequest()
	relay := &relay{server: s, request: r, model: model, body: body, sink: sink,
		sequence: newSequence(r.id, sink.position())}
	return relay.run(ctx, prefixOf(asked))
}

func parseChat(body []byte) (chatRequest, error) {
	var asked chatRequest
	if err := json.Unmarshal(body, &asked); err != nil {
		return asked, redwinghall.NewOpError("parseChat", redwinghall.CodeBadRequest, detail("the body is not a chat completion in JSON"))
	}
	if asked.Model == "" {
		return asked, redwinghall.NewOpError("parseChat", redwinghall.CodeBadRequest, detail("the field model is missing"))
	}
	if len(asked.Messages) == 0 {
		return asked, redwinghall.NewOpError("parseChat", redwinghall.CodeBadRequest, detail("the field messages is missing or empty"))
	}
	return asked, nil
}

// streamingBody returns the body with "stream" set: endpoints are always asked
// for a stream, because only a stream shows progress and can be resumed.
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

// prefixOf hashes the prompt's first message, which is what conversations of
// one kind share.
func prefixOf(asked chatRequest) uint64 { return xxhash.Sum64(asked.Messages[0]) }

// enter waits for room in a group of the model. It refuses at once when no
// group could take the request however long it waited.
func (s *Server) enter(ctx context.Context, r *request, model *route.ModelView, prefix uint64) (*route.Slot, error) {
	now := time.Now()
	if s.board.Usable(model.Model.ID, now) == 0 {
		return nil, redwinghall.NewOpError("Server.enter", redwinghall.CodeNoCapacity, nil)
	}
	defer func() { observe(r.series.queue, time.Since(now)) }()
	if model.Gate.Waiting() == 0 {
		if slot := s.board.PickPrefix(model.Model.ID, now, prefix); slot != nil {
			return slot, nil
		}
	}
	return model.Gate.Enter(ctx, now, r.account)
}
