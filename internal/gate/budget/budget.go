// Package budget bounds the memory that a process spends on long answers that it
// holds until they are complete, all of them together: a target may send bytes without
// end on every connection to it. Short answers need no budget, so that these don't
// fail because of others.
package budget

import (
	"fmt"
	"io"
	"sync"
)

const (
	// firstBytes is the size of the first buffer of an answer.
	firstBytes = 4 << 10
	// freeBytes is the size up to which an answer needs no budget.
	freeBytes = 64 << 10
)

// TooLargeError means that an answer is longer than a single one may be.
type TooLargeError struct {
	// Limit is the largest size in bytes.
	Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("answer of more than %d bytes", e.Limit) }

// ExhaustedError means that the answers being read have used up the budget.
type ExhaustedError struct {
	// Needed is the number of bytes that could not be reserved.
	Needed int
}

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("no %d bytes of memory left for answers", e.Needed)
}

// Budget is a number of bytes shared by all long answers. It is safe for concurrent
// use.
type Budget struct {
	mu   sync.Mutex
	left int
}

// New returns a budget of a number of bytes.
//
//	answers := budget.New(16 << 20)
//	body, release, err := answers.ReadAll(response.Body, 8<<20)
//	defer release()
func New(bytes int) *Budget { return &Budget{left: bytes} }

// Left returns the number of bytes that are not reserved.
func (b *Budget) Left() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

// ReadAll reads until the end of the input. The memory of the result stays reserved
// until release is called, which must be done in any case. The error is that of the
// input, a [*TooLargeError] or an [*ExhaustedError].
func (b *Budget) ReadAll(in io.Reader, limit int) (read []byte, release func(), err error) {
	held := 0
	release = func() { b.release(held); held = 0 }
	for {
		if len(read) == cap(read) {
			size := max(firstBytes, 2*cap(read))
			needed := max(0, size-freeBytes)
			if !b.reserve(needed) {
				return nil, release, &ExhaustedError{Needed: needed}
			}
			grown := make([]byte, len(read), size)
			copy(grown, read)
			read = grown
			b.release(held)
			held = needed
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

func (b *Budget) reserve(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes > b.left {
		return false
	}
	b.left -= bytes
	return true
}

func (b *Budget) release(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += bytes
}
