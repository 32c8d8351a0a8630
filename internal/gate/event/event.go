// Package event splits a stream of server-sent events into whole events, so that
// a caller never gets a part of one.
package event

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

const (
	// bufferBytes is the size of the read buffer of one stream.
	bufferBytes = 4 << 10
	// maxBytes bounds one event.
	maxBytes = 1 << 20
)

// ErrTooLarge means that an event is larger than this package takes.
const ErrTooLarge = errors.ConstError("event: larger than 1 MiB")

// Event is one whole event.
type Event struct {
	// Raw are its bytes, with the empty line that ends it. They are valid until
	// the next read.
	Raw []byte
	// ID is its number; empty if it has none.
	ID string
}

// Reader reads events. See [New].
type Reader struct {
	in  *bufio.Reader
	raw []byte
}

// New returns a reader of the events in in.
//
//	events := event.New(response.Body)
//	next, err := events.Next()
func New(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, bufferBytes)} }

// Next returns the next event. The error is [io.EOF] at the end of a stream
// that ends after a whole event, and [io.ErrUnexpectedEOF] within one.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	id := ""
	for {
		line, err := r.in.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		if len(r.raw) > maxBytes {
			return Event{}, ErrTooLarge
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.raw) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if len(trimmed) == 0 {
			if len(bytes.TrimSpace(r.raw)) == 0 {
				r.raw = r.raw[:0]
				continue
			}
			return Event{Raw: r.raw, ID: id}, nil
		}
		if value, ok := bytes.CutPrefix(trimmed, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// Buffered reports whether a part of a further event is there already.
func (r *Reader) Buffered() bool { return r.in.Buffered() > 0 }
