// Package chat parses requests and encodes responses of the OpenAI-compatible
// chat completions API.
package chat

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Request is a caller's chat request. Only the fields that routing needs are
// parsed; Body passes the others on unchanged.
type Request struct {
	// Model is the "model" field, which names an application.
	Model string
	// Stream is true when the caller wants server-sent events.
	Stream bool
	// MaxTokens limits the output tokens; zero means the engine's default.
	MaxTokens int
	// Prompt is the role and text of each message, in order.
	Prompt []byte
	// Body is the request to send to an engine: always streamed, with token
	// usage included.
	Body json.RawMessage
}

// ParseError reports invalid JSON in a request or in an engine's chunk.
type ParseError struct {
	// Field is the path of the invalid field; empty means the whole body.
	Field string
	// Message describes the error to the caller.
	Message string
}

// Error returns the error message for the caller.
func (e *ParseError) Error() string {
	if e.Field == "" {
		return e.Message
	}
	return fmt.Sprintf("%s: %s", e.Field, e.Message)
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Parse parses a request body. Every error is a [*ParseError].
//
//	request, err := chat.Parse([]byte(`{"model":"assistant","messages":[{"role":"user","content":"hi"}]}`))
func Parse(body []byte) (Request, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return Request{}, &ParseError{Message: "not a JSON object: " + err.Error()}
	}
	request := Request{}
	if err := request.readScalars(fields); err != nil {
		return Request{}, err
	}
	prompt, err := readPrompt(fields["messages"])
	if err != nil {
		return Request{}, err
	}
	request.Prompt = prompt
	request.Body, err = streamingBody(fields)
	return request, err
}

func (r *Request) readScalars(fields map[string]json.RawMessage) error {
	if err := readField(fields, "model", &r.Model); err != nil {
		return err
	}
	if r.Model == "" {
		return &ParseError{Field: "model", Message: "must name an application"}
	}
	if err := readField(fields, "stream", &r.Stream); err != nil {
		return err
	}
	if err := readField(fields, "max_tokens", &r.MaxTokens); err != nil {
		return err
	}
	if err := readField(fields, "max_completion_tokens", &r.MaxTokens); err != nil {
		return err
	}
	if r.MaxTokens < 0 {
		return &ParseError{Field: "max_tokens", Message: "must not be negative"}
	}
	var choices *int
	if err := readField(fields, "n", &choices); err != nil {
		return err
	}
	if choices != nil && *choices != 1 {
		return &ParseError{Field: "n", Message: "only one choice per request is supported"}
	}
	return nil
}

func readField(fields map[string]json.RawMessage, name string, target any) error {
	raw, ok := fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return &ParseError{Field: name, Message: err.Error()}
	}
	return nil
}

func readPrompt(raw json.RawMessage) ([]byte, error) {
	var messages []message
	if err := json.Unmarshal(raw, &messages); err != nil || len(messages) == 0 {
		return nil, &ParseError{Field: "messages", Message: "must be a list of at least one message"}
	}
	var prompt bytes.Buffer
	for i, m := range messages {
		if m.Role == "" {
			return nil, &ParseError{Field: fmt.Sprintf("messages[%d].role", i), Message: "must not be empty"}
		}
		prompt.WriteString(m.Role)
		prompt.WriteByte('\n')
		if err := writeContent(&prompt, m.Content); err != nil {
			return nil, &ParseError{Field: fmt.Sprintf("messages[%d].content", i), Message: err.Error()}
		}
		prompt.WriteByte('\n')
	}
	return prompt.Bytes(), nil
}

func writeContent(prompt *bytes.Buffer, raw json.RawMessage) error {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		prompt.WriteString(text)
		return nil
	}
	var parts []part
	if err := json.Unmarshal(raw, &parts); err != nil {
		return fmt.Errorf("must be a text or a list of parts")
	}
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("a part of type %q is not supported", p.Type)
		}
		prompt.WriteString(p.Text)
	}
	return nil
}

func streamingBody(fields map[string]json.RawMessage) (json.RawMessage, error) {
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, &ParseError{Message: err.Error()}
	}
	return body, nil
}
