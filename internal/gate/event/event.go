// Package event splits a stream of server-sent events into events. The caller
// gets only complete ones.
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
	// maxEventBytes limits the size of an event.
	maxEventBytes = 1 << 20
)

// ErrTooLarge is returned for an event of more than 1 MiB.
const ErrTooLarge = errors.ConstError("event: larger than 1 MiB")

// Event is a complete event.
type Event struct {
	// Raw is the event as received, including the blank line that ends it. It is
	// valid until the next call to [Reader.Next].
	Raw []byte
	// ID is the value of the id field; empty if there is none.
	ID string
}

// Reader reads events from a stream. See [New].
type Reader struct {
	in  *bufio.Reader
	raw []byte
}

// New returns a reader of the events in a stream.
//
//	events := event.New(response.Body)
//	next, err := events.Next()
func New(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, bufferBytes)} }

// Next returns the next event. At the end of the stream the error is [io.EOF]
// after a complete event, and [io.ErrUnexpectedEOF] within an event.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	id := ""
	for {
		line, err := r.in.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		if len(r.raw) > maxEventBytes {
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

// Buffered reports whether bytes of a further event have already been received.
func (r *Reader) Buffered() bool { return r.in.Buffered() > 0 }
