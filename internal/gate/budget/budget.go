// Package budget bounds the memory that a process spends on what it holds for others:
// clients' bodies, targets' answers and the events of their streams, all of them
// together. Clients may send bodies as long as they are allowed to in the same moment,
// and targets bytes without end on every connection to them. A part of the budget is kept
// for what is short, so that it doesn't fail because of others.
package budget

import (
	"fmt"
	"io"
	"sync"
)

const (
	// firstBytes is the size of a first buffer, which needs no budget.
	firstBytes = 4 << 10
	// shortBytes is the size up to which the whole budget may be used.
	shortBytes = 64 << 10
	// growth is by how much a buffer grows at once. Less leaves more garbage.
	growth = 4
)

// Kind is what memory is held for. It determines how much of the budget must stay free,
// as one part in so many.
type Kind int

const (
	// Body is a body that a client sends. It has not run and can be refused.
	Body Kind = 4
	// Answer is an answer or an event of a target. Its request has run.
	Answer Kind = 16
)

// TooLargeError means that something is longer than a single one may be.
type TooLargeError struct {
	// Limit is the largest size in bytes.
	Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("more than %d bytes", e.Limit) }

// ExhaustedError means that what is held has used up the budget.
type ExhaustedError struct {
	// Needed is the number of bytes that could not be reserved.
	Needed int
}

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("no %d bytes of memory left", e.Needed)
}

// Budget is a number of bytes shared by all that is held. It is safe for concurrent use.
type Budget struct {
	total int

	mu   sync.Mutex
	left int
}

// New returns a budget of a number of bytes.
//
//	memory := budget.New(16 << 20)
//	body, release, err := memory.ReadAll(response.Body, budget.Answer, 8<<20)
//	defer release()
func New(bytes int) *Budget { return &Budget{total: bytes, left: bytes} }

// Left returns the number of bytes that are not reserved.
func (b *Budget) Left() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

// Hold returns functions that change and end a reservation, which is empty at first. The
// error of resize is an [*ExhaustedError]; the reservation then stays as it was. They must
// not be called concurrently, and release must be called in any case.
func (b *Budget) Hold(kind Kind) (resize func(size int) error, release func()) {
	held := 0
	resize = func(size int) error {
		needed := size
		if size <= firstBytes {
			needed = 0
		}
		if !b.reserve(needed-held, size > shortBytes, kind) {
			return &ExhaustedError{Needed: needed}
		}
		held = needed
		return nil
	}
	return resize, func() { b.reserve(-held, false, kind); held = 0 }
}

// ReadAll reads until the end of the input. The memory of the result stays reserved
// until release is called, which must be done in any case. The error is that of the
// input, a [*TooLargeError] or an [*ExhaustedError].
func (b *Budget) ReadAll(in io.Reader, kind Kind, limit int) (read []byte, release func(), err error) {
	resize, release := b.Hold(kind)
	for {
		if len(read) == cap(read) {
			size := min(max(firstBytes, growth*cap(read)), limit+1)
			// Both buffers are there while one is copied.
			if err := resize(size + cap(read)); err != nil {
				return nil, release, err
			}
			grown := make([]byte, len(read), size)
			copy(grown, read)
			read = grown
			if err := resize(size); err != nil {
				return nil, release, err
			}
		}
		n, err := in.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		switch {
		case len(read) > limit:
			return nil, release, &TooLargeError{Limit: limit}
		case err == io.EOF:
			return read, release, nil
		case err != nil:
			return nil, release, err
		}
	}
}

// reserve takes bytes from the budget, or returns them if their number is negative.
func (b *Budget) reserve(bytes int, long bool, kind Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	free := 0
	if long || kind == Body {
		free = b.total / int(kind)
	}
	if bytes > 0 && b.left-bytes < free {
		return false
	}
	b.left -= bytes
	return true
}
