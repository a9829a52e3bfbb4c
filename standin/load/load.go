// Package load is a load generator: it sends chat completions as callers do
// and checks every response.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"redwinghall/caller"
	"redwinghall/kernel"
	"redwinghall/standin/engine"
)

// Config configures a run of the load generator.
type Config struct {
	Routers  []string // host:port of caller listeners, used round-robin
	Key      string   // API key
	Model    string
	Requests int
	Workers  int           // concurrent requests
	Tokens   int           // chunks in each response
	Timeout  time.Duration // of one request
	Seed     int           // part of each request's message
}

// Result counts the outcomes of the requests of a run.
type Result struct {
	Sent    int            `json:"sent"`
	Correct int            `json:"whole"`   // complete and equal to the expected response
	Wrong   int            `json:"wrong"`   // complete, but different from the expected response
	Refused map[string]int `json:"refused"` // by error code
	Failed  int            `json:"failed"`  // no response, or an incomplete one

	FirstChunk []time.Duration `json:"-"`
	// Failures describes the first maxFailures of the requests that failed or were wrong.
	Failures []string `json:"-"`
}

// maxFailures bounds the failures that a result describes.
const maxFailures = 10

// Quantile returns the q-quantile of the time to first chunk over the correct
// responses.
func (r Result) Quantile(q float64) time.Duration {
	if len(r.FirstChunk) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), r.FirstChunk...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// String returns the result as one line of text.
func (r Result) String() string {
	text := fmt.Sprintf("sent %d, whole %d, wrong %d, failed %d, refused %v, first chunk p50 %s p95 %s",
		r.Sent, r.Correct, r.Wrong, r.Failed, r.Refused,
		r.Quantile(0.5).Round(time.Microsecond), r.Quantile(0.95).Round(time.Microsecond))
	if len(r.Failures) > 0 {
		text += "; " + strings.Join(r.Failures, "; ")
	}
	return text
}

// NewClient returns an HTTP client that keeps enough idle connections for many
// workers.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
}

// Run sends c.Requests requests from c.Workers workers and returns the result.
func Run(ctx context.Context, c Config) Result {
	client := NewClient()
	result := Result{Refused: map[string]int{}}
	var mu sync.Mutex
	next := 0
	workers := kernel.NewGroup(ctx)
	for range c.Workers {
		workers.Go("load.worker", func(ctx context.Context) error {
			for {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= c.Requests || ctx.Err() != nil {
					return nil
				}
				one := Stream(ctx, client, c, i)
				mu.Lock()
				result.add(one)
				mu.Unlock()
			}
		})
	}
	_ = workers.Wait() // workers return no errors
	return result
}

func (r *Result) add(one Response) {
	r.Sent++
	if failure := one.failure(); failure != "" && len(r.Failures) < maxFailures {
		r.Failures = append(r.Failures, failure)
	}
	switch {
	case one.Code != "":
		r.Refused[one.Code]++
	case one.Err != nil:
		r.Failed++
	case one.Text != one.Want:
		r.Wrong++
	default:
		r.Correct++
		r.FirstChunk = append(r.FirstChunk, one.First)
	}
}

// Response is the response to one streamed request.
type Response struct {
	Text  string
	Want  string // expected text
	Code  string // error code, if the request was refused
	Err   error
	First time.Duration // time to first chunk
	// RequestID is the id under which the router logged the request, "" without a response.
	RequestID string
	Took      time.Duration
}

// failure describes a response that was wrong, incomplete or missing, "" for any other.
func (r Response) failure() string {
	switch {
	case r.Code != "":
		return ""
	case r.Err != nil:
		return fmt.Sprintf("request %q after %s and %d bytes: %v", r.RequestID, r.Took, len(r.Text), r.Err)
	case r.Text != r.Want:
		return fmt.Sprintf("request %q: got %q instead of %q", r.RequestID, r.Text, r.Want)
	}
	return ""
}

var errIncomplete = errors.New("stream ended before the [DONE] event")

// Body returns the body of request number i and the expected text of the
// response.
func Body(c Config, i int) (body []byte, want string) {
	message := fmt.Sprintf(`{"role":"user","content":"seed %d request %d"}`, c.Seed, i)
	body = []byte(fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[%s]}`, c.Model, c.Tokens, message))
	var request engine.ChatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		panic(err) // the body above is valid JSON
	}
	return body, request.Expected()
}

// Stream sends request number i and reads the streamed response.
func Stream(ctx context.Context, client *http.Client, c Config, i int) Response {
	body, want := Body(c, i)
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+c.Routers[i%len(c.Routers)]+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return Response{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return Response{Err: err, Took: time.Since(started)}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	result := Response{Want: want, RequestID: response.Header.Get(caller.HeaderRequestID)}
	result.Text, result.First, result.Err = readStream(response.Body, started)
	result.Took = time.Since(started)
	return result
}

func refusal(response *http.Response) Response {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{Err: err}
	}
	var body caller.Refusal
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return Response{Err: fmt.Errorf("status %d without an error code", response.StatusCode)}
	}
	return Response{Code: string(body.Error.Code)}
}

// streamChunk contains the fields of a chunk that hold text or an error.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *caller.RefusalBody `json:"error"`
}

func readStream(body io.Reader, started time.Time) (string, time.Duration, error) {
	events := caller.NewEventReader(body)
	var text strings.Builder
	var first time.Duration
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			err = errIncomplete
		}
		if err != nil {
			return text.String(), first, err
		}
		if first == 0 {
			first = time.Since(started)
		}
		if event.IsDone() {
			return text.String(), first, nil
		}
		var c streamChunk
		if err := json.Unmarshal(event.Data, &c); err != nil {
			return text.String(), first, err
		}
		if c.Error != nil {
			return text.String(), first, fmt.Errorf("%s", c.Error.Code)
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
}
