package engine

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ChatRequest is the part of a chat completion that the engine reads.
type ChatRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
}

const defaultTokens = 16

// words are what answers are made of.
var words = strings.Fields("ice snow chain tyre depot road crew valga tartu pärnu cup café ledger hauler clerk return fit link hook steel")

// tokens returns how many chunks the answer has.
func (r ChatRequest) tokens() int {
	if r.MaxTokens <= 0 {
		return defaultTokens
	}
	return r.MaxTokens
}

// Token returns the text at a position of the answer to the request. It
// follows from the model and the messages alone.
func (r ChatRequest) Token(position int) string {
	hash := xxhash.New()
	_, _ = hash.WriteString(r.Model) // a hash never fails
	for _, m := range r.Messages {
		_, _ = hash.Write(m)
	}
	_, _ = hash.WriteString(strconv.Itoa(position))
	return words[hash.Sum64()%uint64(len(words))] + " "
}

// Expected returns the whole answer.
func (r ChatRequest) Expected() string {
	var out strings.Builder
	for i := range r.tokens() {
		out.WriteString(r.Token(i))
	}
	return out.String()
}

// chunk is one streamed piece in the usual OpenAI form.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

func (r ChatRequest) chunkJSON(requestID string, position int) []byte {
	choice := chunkChoice{Delta: delta{Content: r.Token(position)}}
	if position == r.tokens()-1 {
		stop := "stop"
		choice.FinishReason = &stop
	}
	data, err := json.Marshal(chunk{
		ID: requestID, Object: "chat.completion.chunk", Model: r.Model, Choices: []chunkChoice{choice},
	})
	if err != nil {
		panic(err) // a struct of plain fields always marshals
	}
	return data
}
