// Package call describes one request as the gateway sees it, independent of the
// header names of any platform.
package call

import (
	"net/http"
	"time"
)

// Part is a section of the prompt that other requests may share.
type Part struct {
	// ID identifies the part's text.
	ID string
	// Tokens is the part's length.
	Tokens int
}

// Prompt describes the work of a model request.
type Prompt struct {
	// Model is the name of the requested model; empty for plain requests.
	Model string
	// Tokens is the length of the prompt.
	Tokens int
	// MaxOutput is the maximum number of tokens to generate.
	MaxOutput int
	// Parts are the parts of the prompt in order. The last one is private to the
	// request or its session, the others are shared.
	Parts []Part
}

// Shared returns the parts that other requests may share.
func (p Prompt) Shared() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// Size is the work of a request as its client states it.
type Size struct {
	// Known is true when the client states it.
	Known bool
	// Tokens is the length of the prompt and of the longest output together.
	Tokens float64
}

// Call is one request from a client; a client's retry is a new Call.
type Call struct {
	// ID is the request ID that the client sent.
	ID     string
	Method string
	// Host is the host name in the request.
	Host string
	// Path is the path and query exactly as the client sent them.
	Path string
	// Key is the client's API key.
	Key string
	// ClientTimeout is how long the client waits for the answer; zero if unknown.
	ClientTimeout time.Duration
	Prompt        Prompt
	// Size is the work of the request as the client states it.
	Size Size
	// ResumeAfter is the ID of the last event that the client received; empty for a
	// new stream.
	ResumeAfter string
	// Header are the header fields to forward to the target unchanged.
	Header http.Header
	Body   []byte
}

// Forward is what the gateway adds to a [Call] that it forwards to a target.
type Forward struct {
	// Instance is the only instance of the target that may run the request.
	Instance string
	// TimeLeft is the time left for the target to answer.
	TimeLeft time.Duration
	// Workspace is the workspace of the client's key; empty without one.
	Workspace string
	// Scope is the cache namespace of the prompt's parts.
	Scope string
	// FetchFrom is the address to copy missing parts from; empty for none.
	FetchFrom string
	// SaveTo is the address of a store to copy the parts to; empty for none.
	SaveTo string
	// WeightVersion is the only weight version that may run the request; zero for
	// any.
	WeightVersion uint64
	// Urgency is the priority at the engine; 0 is the highest, and a negative value
	// means that none is set.
	Urgency int
	// ResumeAfter is the ID of the last event that the client received; empty for
	// none.
	ResumeAfter string
}

// ResponseHeader is the decoded header of an answer.
type ResponseHeader struct {
	// ID is the ID of the request that the answer belongs to.
	ID string
	// Signed is true when the target signed the answer.
	Signed bool
	// NotRun is true when the target states that it did not run the request.
	NotRun bool
	// Misdirected is true when the request reached another instance or other
	// weights than it asked for.
	Misdirected bool
	// WeightVersion is the version that computed the answer; zero if unknown.
	WeightVersion uint64
	// Needs is what the target says of itself.
	Needs Needs
}

// Needs is what a target says of itself in any answer. The zero value means that it
// needs nothing.
type Needs struct {
	// Limited is true when the target takes only Limit requests a second from all nodes
	// together.
	Limited bool
	Limit   float64
	// Leaving is true when the target takes no new work.
	Leaving bool
	// Pause is how long the target, which turned the request away, wants no further
	// ones from this node; zero for none.
	Pause time.Duration
	// Invalid describes values that can't be right; empty if there are none. They
	// neither state a need nor end one.
	Invalid string
}

// Codec translates between HTTP messages and the gateway's types. The adapter of
// each platform implements it.
type Codec interface {
	// Decode decodes a client's request except for its body.
	Decode(r *http.Request) (Call, error)
	// Encode returns the header of a request to a target.
	Encode(c Call, send Forward) http.Header
	// DecodeHeader decodes the header of a target's answer.
	DecodeHeader(status int, header http.Header) ResponseHeader
	// RetryAfter returns the Retry-After value for a pause.
	RetryAfter(pause time.Duration) string
	// EventVersion returns the weight version that an event announces, if any.
	EventVersion(event []byte) (uint64, bool)
}
