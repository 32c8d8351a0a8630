// Package call holds what the gateway knows of one request, free of any
// platform's header names.
package call

import (
	"net/http"
	"time"
)

// Part is a run of prompt tokens that other requests may share.
type Part struct {
	// ID identifies the part's text.
	ID string
	// Tokens is its length.
	Tokens int
}

// Prompt describes the work of a model request.
type Prompt struct {
	// Model is the model that has to answer; empty for plain requests.
	Model string
	// Tokens is the number of prompt tokens.
	Tokens int
	// MaxOutput is the largest number of tokens to generate.
	MaxOutput int
	// Parts are the parts of the prompt in order. The last one belongs to the
	// request itself or to its session, the others are shared.
	Parts []Part
}

// Shared returns the parts that other requests may share.
func (p Prompt) Shared() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// Call is one attempt of a client.
type Call struct {
	// ID is the client's name for this attempt.
	ID string
	// Method is the HTTP method.
	Method string
	// Host is the host that the client named.
	Host string
	// Path is the path and query exactly as the client sent them.
	Path string
	// Key is the client's API key.
	Key string
	// Patience is how long the client waits for the answer.
	Patience time.Duration
	// Prompt describes the work of a model request.
	Prompt Prompt
	// ResumeAfter is the number of the last event that the client has; empty
	// for a new stream.
	ResumeAfter string
	// Header are the headers that go on to the target as they are.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Send is what the gateway adds when it passes a [Call] to a target.
type Send struct {
	// Instance is the only start of a target that may run the request.
	Instance string
	// Left is how long the target may work.
	Left time.Duration
	// Workspace is the workspace that holds the client's key; empty without one.
	Workspace string
	// Scope is the text under which cached parts are found and kept.
	Scope string
	// FetchFrom is the address from which missing parts are copied first.
	FetchFrom string
	// SaveTo is the address of a store that gets a copy of the parts.
	SaveTo string
	// WeightVersion is the only version that may run the request; zero means any.
	WeightVersion uint64
	// Urgency is the rank of the request at the engine, 0 first; negative means
	// that none is set.
	Urgency int
	// ResumeAfter is the last event that the client has got; empty for none.
	ResumeAfter string
}

// Head is what the head of an answer says.
type Head struct {
	// ID is the attempt that the answer belongs to.
	ID string
	// Sealed is true when the target has signed the answer.
	Sealed bool
	// NotRun is true when the target states that it has not run the request.
	NotRun bool
	// OtherInstance is true when another start of a target, or other weights
	// than asked for, were met.
	OtherInstance bool
	// WeightVersion is the version that answers; zero if not told.
	WeightVersion uint64
}

// Codec translates between HTTP messages and what the gateway knows. It is
// implemented by the adapter to a platform.
type Codec interface {
	// Decode reads all of a client's request but its body.
	Decode(r *http.Request) (Call, error)
	// Encode returns the headers of a request to a target.
	Encode(c Call, send Send) http.Header
	// Head reads the head of a target's answer.
	Head(status int, header http.Header) Head
	// RetryAfter returns the header value that asks for a pause.
	RetryAfter(pause time.Duration) string
	// EventVersion returns the version that an event announces, if any.
	EventVersion(event []byte) (uint64, bool)
}
