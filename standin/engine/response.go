package engine

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ChatRequest contains the fields of a chat completion request that the engine
// uses.
type ChatRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
}

const defaultTokens = 16

// words is the vocabulary of the generated responses.
var words = strings.Fields("ice snow chain tyre depot road crew valga tartu pärnu cup café ledger hauler clerk return fit link hook steel")

// tokenCount returns the number of chunks in the response.
func (r ChatRequest) tokenCount() int {
	if r.MaxTokens <= 0 {
		return defaultTokens
	}
	return r.MaxTokens
}

// Token returns the text of the chunk at a position of the response. It depends
// only on the model, the messages and the position.
func (r ChatRequest) Token(position int) string {
	hash := xxhash.New()
	_, _ = hash.WriteString(r.Model) // never returns an error
	for _, m := range r.Messages {
		_, _ = hash.Write(m)
	}
	_, _ = hash.WriteString(strconv.Itoa(position))
	return words[hash.Sum64()%uint64(len(words))] + " "
}

// Expected returns the full text of the response.
func (r ChatRequest) Expected() string {
	var out strings.Builder
	for i := range r.tokenCount() {
		out.WriteString(r.Token(i))
	}
	return out.String()
}

// chunk is one event of a stream, in the OpenAI format.
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
	if position == r.tokenCount()-1 {
		stop := "stop"
		choice.FinishReason = &stop
	}
	data, err := json.Marshal(chunk{
		ID: requestID, Object: "chat.completion.chunk", Model: r.Model, Choices: []chunkChoice{choice},
	})
	if err != nil {
		panic(err) // cannot fail: the struct has only plain fields
	}
	return data
}
