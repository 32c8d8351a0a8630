// Package resume encodes a position in an answer as the ID of a server-sent
// event, so that a caller who reconnects, at this node or another, can go on
// where its connection ended.
package resume

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/cicadamill/cicadamill/internal/route/job"
)

const hexadecimal = 16

// Point is a position in one answer.
type Point struct {
	// WeightVersion is the version of the weights that answer.
	WeightVersion string
	// Digest is the digest of what was asked; see [Digest].
	Digest uint32
	// Offset is the number of the chunk, from zero.
	Offset int
}

// ParseError tells that an event ID is not one of ours.
type ParseError struct {
	// ID is the event ID.
	ID string
}

// Error returns a text for the caller.
func (e *ParseError) Error() string {
	return fmt.Sprintf("Last-Event-ID %.64q is not an event ID of this service", e.ID)
}

// Digest returns the digest of workspace, application, adapter and body. An
// answer can go on only when it is the same.
func Digest(j job.Job) uint32 {
	seed := xxh3.HashString(strings.Join([]string{j.Workspace, j.Application, j.Model, j.Adapter}, "\x00"))
	return uint32(xxh3.HashSeed(j.Body, seed))
}

// AppendPrefix appends what all event IDs of one answer begin with. The chunk's
// number follows.
//
//	id := strconv.AppendInt(point.AppendPrefix(nil), 17, 10)
func (p Point) AppendPrefix(to []byte) []byte {
	to = append(to, url.QueryEscape(p.WeightVersion)...)
	to = append(to, '.')
	to = strconv.AppendUint(to, uint64(p.Digest), hexadecimal)
	return append(to, '.')
}

// Parse reads an event ID.
//
//	point, err := resume.Parse("7.1f3a9c2e.17")
func Parse(id string) (Point, error) {
	parts := strings.Split(id, ".")
	if len(parts) < 3 {
		return Point{}, &ParseError{ID: id}
	}
	last := len(parts) - 1
	version, err1 := url.QueryUnescape(strings.Join(parts[:last-1], "."))
	digest, err2 := strconv.ParseUint(parts[last-1], hexadecimal, 32)
	offset, err3 := strconv.ParseUint(parts[last], 10, 31)
	if err1 != nil || err2 != nil || err3 != nil {
		return Point{}, &ParseError{ID: id}
	}
	return Point{WeightVersion: version, Digest: uint32(digest), Offset: int(offset)}, nil
}
