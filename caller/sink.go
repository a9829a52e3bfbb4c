package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"redwinghall"
)

// sink takes the chunks of one answer in order, each once.
type sink interface {
	// position is the first position that the caller still wants.
	position() int
	// chunk takes one chunk; more says that the next one is here already.
	chunk(position int, data []byte, more bool) error
	// done ends a complete answer.
	done(position int) error
	// abort tells the caller that the answer ends here; it reports false when
	// nothing was sent yet, so that a plain refusal can be sent instead.
	abort(code redwinghall.Code) bool
}

// newSink returns the sink for the form that the caller asked for.
func (s *Server) newSink(w http.ResponseWriter, r *request, asked chatRequest) (sink, error) {
	clock := &chunkClock{series: r.series, last: r.started}
	if !asked.Stream {
		return &wholeSink{w: w, clock: clock, model: asked.Model, id: r.id}, nil
	}
	first, err := firstPosition(r)
	if err != nil {
		return nil, err
	}
	w.Header().Set(HeaderRequestID, r.id)
	return &streamSink{w: w, flusher: http.NewResponseController(w), clock: clock, id: r.id, first: first}, nil
}

// firstPosition returns where a caller that lost its connection wants to go
// on: one after its Last-Event-ID.
func firstPosition(r *request) (int, error) {
	last := r.http.Header.Get(HeaderLastEvent)
	if last == "" {
		return 0, nil
	}
	id, position, ok := parseEventID([]byte(last))
	if !ok || !isPlainID(id) {
		return 0, redwinghall.NewOpError("firstPosition", redwinghall.CodeBadRequest,
			detail("the Last-Event-ID header is not one that this router sent"))
	}
	r.id = id
	return position + 1, nil
}

// chunkClock measures the time to the first and between later chunks.
type chunkClock struct {
	series *series
	last   time.Time
	count  int
}

func (c *chunkClock) tick(now time.Time) {
	if c.count == 0 {
		observe(c.series.firstToken, now.Sub(c.last))
	} else {
		observe(c.series.nextToken, now.Sub(c.last))
	}
	c.count++
	c.last = now
}

// streamSink passes chunks on as server-sent events.
type streamSink struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	clock   *chunkClock
	id      string
	first   int
	started bool
	buffer  []byte
}

func (k *streamSink) position() int { return k.first }

// chunk passes a chunk on. It is sent at once unless the next one is here
// already: then both go in one packet, which costs one system call less and
// the caller no time.
func (k *streamSink) chunk(position int, data []byte, more bool) error {
	k.start()
	k.clock.tick(time.Now())
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
	_ = k.send(append(append([]byte("data: "), data...), "\n\n"...), true) // the caller may be gone
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
		return errors.Join(errSinkGone, err)
	}
	if !flush {
		return nil
	}
	if err := k.flusher.Flush(); err != nil {
		return errors.Join(errSinkGone, err)
	}
	return nil
}

// wholeSink collects the answer and sends it as one chat completion.
type wholeSink struct {
	w     http.ResponseWriter
	clock *chunkClock
	model string
	id    string

	content strings.Builder
	finish  string
	chunks  int
}

// completionChunk is the part of a streamed chunk that a whole answer needs.
type completionChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// Completion is a whole chat completion in the usual OpenAI form.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is one answer of a completion.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Message is what was said, and by whom.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Usage counts the chunks of the answer.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (k *wholeSink) position() int { return 0 }

func (k *wholeSink) chunk(_ int, data []byte, _ bool) error {
	var c completionChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return redwinghall.NewOpError("wholeSink.chunk", redwinghall.CodeEndpointFailed, err)
	}
	k.clock.tick(time.Now())
	k.chunks++
	for _, choice := range c.Choices {
		k.content.WriteString(choice.Delta.Content)
		if choice.FinishReason != "" {
			k.finish = choice.FinishReason
		}
	}
	return nil
}

func (k *wholeSink) done(int) error {
	k.w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(k.w).Encode(Completion{
		ID: k.id, Object: "chat.completion", Model: k.model,
		Choices: []Choice{{Message: Message{Role: "assistant", Content: k.content.String()}, FinishReason: k.finish}},
		Usage:   Usage{CompletionTokens: k.chunks},
	})
	if err != nil {
		return errors.Join(errSinkGone, err)
	}
	return nil
}

func (k *wholeSink) abort(redwinghall.Code) bool { return false }
