// Package resume encodes a position in a response as the ID of a server-sent
// event, so that a caller that reconnects, to this node or another, can resume
// the stream.
package resume

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/cicadamill/cicadamill/internal/route/job"
)

const hexBase = 16

// Position is a position in one response.
type Position struct {
	// WeightVersion is the version of the weights that generate the response.
	WeightVersion string
	// Digest identifies the request; see [Digest].
	Digest uint32
	// Offset is the index of the chunk.
	Offset int
}

// ParseError means that a string is not an event ID of this service.
type ParseError struct {
	// ID is the string.
	ID string
}

// Error returns the error message for the caller.
func (e *ParseError) Error() string {
	return fmt.Sprintf("Last-Event-ID %.64q is not an event ID of this service", e.ID)
}

// Digest returns a digest of a request's workspace, application, model, adapter
// and body. A response can be resumed only by a request with the same digest.
func Digest(j job.Job) uint32 {
	seed := xxh3.HashString(strings.Join([]string{j.Workspace, j.Application, j.Model, j.Adapter}, "\x00"))
	return uint32(xxh3.HashSeed(j.Body, seed))
}

// AppendPrefix appends the common prefix of a response's event IDs. The offset
// of the chunk completes an ID.
//
//	id := strconv.AppendInt(point.AppendPrefix(nil), 17, 10)
func (p Position) AppendPrefix(to []byte) []byte {
	to = append(to, url.QueryEscape(p.WeightVersion)...)
	to = append(to, '.')
	to = strconv.AppendUint(to, uint64(p.Digest), hexBase)
	return append(to, '.')
}

// Parse parses an event ID.
//
//	point, err := resume.Parse("7.1f3a9c2e.17")
func Parse(id string) (Position, error) {
	parts := strings.Split(id, ".")
	if len(parts) < 3 {
		return Position{}, &ParseError{ID: id}
	}
	last := len(parts) - 1
	version, err1 := url.QueryUnescape(strings.Join(parts[:last-1], "."))
	digest, err2 := strconv.ParseUint(parts[last-1], hexBase, 32)
	offset, err3 := strconv.ParseUint(parts[last], 10, 31)
	if err1 != nil || err2 != nil || err3 != nil {
		return Position{}, &ParseError{ID: id}
	}
	return Position{WeightVersion: version, Digest: uint32(digest), Offset: int(offset)}, nil
}
