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
	// smallestBytes is the first size of an event's buffer.
	smallestBytes = 256
	// keptBytes is the capacity of an event's buffer that is kept for the next one.
	keptBytes = 16 << 10
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
	// resize reserves memory for raw.
	resize func(size int) error
}

// New returns a reader of the events in a stream.
//
//	events := event.New(response.Body)
//	next, err := events.Next()
func New(in io.Reader) *Reader { return NewWithin(in, func(int) error { return nil }) }

// NewWithin is like New for a reader that calls resize with the size of its buffer for an
// event before that changes. Its error ends the stream.
func NewWithin(in io.Reader, resize func(size int) error) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, bufferBytes), resize: resize}
}

// Next returns the next event. Blank lines before it belong to it, so that the
// events together are the stream, byte for byte. At the end of the stream the error
// is [io.EOF] after a complete event, and [io.ErrUnexpectedEOF] within an event.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	if cap(r.raw) > keptBytes {
		r.raw = nil
		if err := r.resize(0); err != nil {
			return Event{}, err
		}
	}
	id, begun := "", false
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) && len(r.raw) > 0 {
			if begun || len(line) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{Raw: r.raw}, nil
		}
		if err != nil {
			return Event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 && begun {
			return Event{Raw: r.raw, ID: id}, nil
		}
		begun = begun || len(line) > 0
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// readLine appends the next line to raw and returns it, with its end. A line may be
// longer than the buffer.
func (r *Reader) readLine() ([]byte, error) {
	start := len(r.raw)
	for {
		part, err := r.in.ReadSlice('\n')
		if err := r.add(part); err != nil {
			return nil, err
		}
		if len(r.raw) > maxEventBytes {
			return nil, ErrTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return r.raw[start:], err
		}
	}
}

// add appends bytes to the event.
func (r *Reader) add(part []byte) error {
	if needed := len(r.raw) + len(part); needed > cap(r.raw) {
		size := max(2*cap(r.raw), needed, smallestBytes)
		// Both buffers are there while one is copied.
		if err := r.resize(size + cap(r.raw)); err != nil {
			return err
		}
		r.raw = append(make([]byte, 0, size), r.raw...)
		if err := r.resize(size); err != nil {
			return err
		}
	}
	r.raw = append(r.raw, part...)
	return nil
}

// Buffered reports whether the whole of a further event has already been received. It
// looks no further than the read buffer, and may miss one.
func (r *Reader) Buffered() bool {
	// Peek fails for none of the bytes that are in the buffer.
	received, _ := r.in.Peek(r.in.Buffered())
	received = bytes.TrimLeft(received, "\r\n")
	return bytes.Contains(received, []byte("\n\n")) || bytes.Contains(received, []byte("\n\r\n"))
}
