package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"redwinghall"
)

// sink receives the chunks of one response, in order and each once.
type sink interface {
	// position returns the first position that the caller has not yet received.
	position() int
	// chunk receives one chunk; more means that the next one is already
	// available.
	chunk(position int, data []byte, more bool) error
	// done ends a complete response.
	done(position int) error
	// abort ends an incomplete response with an error event. It returns false if
	// nothing has been sent, so that a refusal can be sent instead.
	abort(code redwinghall.Code) bool
}

// newSink returns the sink for a streamed or a buffered response, whichever the caller
// requested.
func (s *Server) newSink(w http.ResponseWriter, r *request, req chatRequest) (sink, error) {
	timer := &chunkTimer{series: r.series, last: r.started}
	if !req.Stream {
		return &bufferedSink{w: w, timer: timer, model: req.Model, id: r.id}, nil
	}
	first, err := firstPosition(r)
	if err != nil {
		return nil, err
	}
	w.Header().Set(HeaderRequestID, r.id)
	return &streamSink{w: w, flusher: http.NewResponseController(w), timer: timer, id: r.id, first: first}, nil
}

// firstPosition returns the position at which the response starts: zero, or the one
// after the Last-Event-ID header if the caller resumes a stream.
func firstPosition(r *request) (int, error) {
	last := r.http.Header.Get(HeaderLastEvent)
	if last == "" {
		return 0, nil
	}
	id, position, ok := parseEventID([]byte(last))
	if !ok || !isValidID(id) {
		return 0, redwinghall.NewOpError("firstPosition", redwinghall.CodeBadRequest,
			detail("the Last-Event-ID header is not one that this router sent"))
	}
	r.id = id
	return position + 1, nil
}

// chunkTimer measures the time to the first chunk and between later ones.
type chunkTimer struct {
	series *series
	last   time.Time
	count  int
}

func (c *chunkTimer) record(now time.Time) {
	if c.count == 0 {
		observe(c.series.firstToken, now.Sub(c.last))
	} else {
		observe(c.series.nextToken, now.Sub(c.last))
	}
	c.count++
	c.last = now
}

// streamSink sends chunks to the caller as server-sent events.
type streamSink struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	timer   *chunkTimer
	id      string
	first   int
	started bool
	buffer  []byte
}

func (k *streamSink) position() int { return k.first }

// chunk sends a chunk at once unless the next one is already available. In that case
// both are sent in one packet, which saves a system call without delaying the caller.
func (k *streamSink) chunk(position int, data []byte, more bool) error {
	k.start()
	k.timer.record(time.Now())
	k.buffer = appendEvent(k.buffer[:0], k.id, position, data)
	return k.send(k.buffer, !more)
}

func (k *streamSink) done(position int) error { return k.chunk(position, doneData, false) }

func (k *streamSink) abort(code redwinghall.Code) bool {
	if !k.started {
		return false
	}
	body, _ := newRefusal(code, k.id, "")
	data, err := json.Marshal(Refusal{Error: body})
	if err != nil {
		return true
	}
	_ = k.send(append(append([]byte("data: "), data...), "\n\n"...), true) // the caller may have disconnected
	return true
}

func (k *streamSink) start() {
	if k.started {
		return
	}
	k.started = true
	k.w.Header().Set("Content-Type", "text/event-stream")
	k.w.Header().Set("Cache-Control", "no-cache")
	k.w.Header().Set("X-Accel-Buffering", "no")
	k.w.WriteHeader(http.StatusOK)
}

func (k *streamSink) send(data []byte, flush bool) error {
	if _, err := k.w.Write(data); err != nil {
		return errors.Join(errCallerGone, err)
	}
	if !flush {
		return nil
	}
	if err := k.flusher.Flush(); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

// bufferedSink collects the chunks and sends the response as one chat completion.
type bufferedSink struct {
	w     http.ResponseWriter
	timer *chunkTimer
	model string
	id    string

	content strings.Builder
	finish  string
	chunks  int
}

// completionChunk holds the fields of a streamed chunk that a chat completion needs.
type completionChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// Completion is a whole chat completion in the format of OpenAI's API.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is one choice of a completion.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Message is a chat message with the role of its author.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Usage holds the number of chunks of the response, which is reported as the number of
// tokens.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (k *bufferedSink) position() int { return 0 }

func (k *bufferedSink) chunk(_ int, data []byte, _ bool) error {
	var c completionChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return redwinghall.NewOpError("bufferedSink.chunk", redwinghall.CodeEndpointFailed, err)
	}
	k.timer.record(time.Now())
	k.chunks++
	for _, choice := range c.Choices {
		k.content.WriteString(choice.Delta.Content)
		if choice.FinishReason != "" {
			k.finish = choice.FinishReason
		}
	}
	return nil
}

func (k *bufferedSink) done(int) error {
	k.w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(k.w).Encode(Completion{
		ID: k.id, Object: "chat.completion", Model: k.model,
		Choices: []Choice{{Message: Message{Role: "assistant", Content: k.content.String()}, FinishReason: k.finish}},
		Usage:   Usage{CompletionTokens: k.chunks},
	})
	if err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

func (k *bufferedSink) abort(redwinghall.Code) bool { return false }
