package chat

import (
	"encoding/json"
	"strings"
)

// Accumulator assembles the chunks of a streamed completion into one response.
type Accumulator struct {
	id      string
	model   string
	created int64
	text    strings.Builder
	finish  string
	usage   json.RawMessage
}

type chunk struct {
	ID      string          `json:"id"`
	Model   string          `json:"model"`
	Created int64           `json:"created"`
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type chunkChoice struct {
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Add appends the next chunk, given as JSON.
func (a *Accumulator) Add(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return &ParseError{Message: "the engine sent a chunk that is not JSON: " + err.Error()}
	}
	a.id, a.model, a.created = c.ID, c.Model, c.Created
	for _, choice := range c.Choices {
		a.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			a.finish = *choice.FinishReason
		}
	}
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		a.usage = c.Usage
	}
	return nil
}

// Text returns the text of the chunks added so far.
func (a *Accumulator) Text() string { return a.text.String() }

// Encode returns the response body for a request without streaming.
func (a *Accumulator) Encode() ([]byte, error) {
	return json.Marshal(completion{
		ID: a.id, Object: "chat.completion", Created: a.created, Model: a.model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: a.Text()},
			FinishReason: a.finish,
		}},
		Usage: a.usage,
	})
}
