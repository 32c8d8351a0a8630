// Package words makes up the answers of the engine stand-in. A word depends on
// the whole prompt, the weights, the adapter and its offset, and on nothing
// else, so that a reader can check a stream to the last byte, also when several
// engines gave it.
package words

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/zeebo/xxh3"
)

// Answer makes the words of one answer.
type Answer struct {
	seed uint64
}

// New returns the answer to a prompt.
//
//	answer := words.New(request.Prompt, "7", "")
//	first := answer.Word(0)
func New(prompt []byte, weightVersion, adapter string) Answer {
	seed := xxh3.HashString(weightVersion + "\x00" + adapter)
	return Answer{seed: xxh3.HashSeed(prompt, seed)}
}

// ID identifies the answer; it is the same on every engine.
func (a Answer) ID() string { return fmt.Sprintf("chatcmpl-%016x", a.seed) }

// Word returns the text of the chunk at an offset.
func (a Answer) Word(offset int) string {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], uint64(offset))
	return fmt.Sprintf("w%d-%04x ", offset, xxh3.HashSeed(buffer[:], a.seed)&0xffff)
}

// Text returns the words from one offset to before another.
func (a Answer) Text(from, to int) string {
	var text strings.Builder
	for offset := from; offset < to; offset++ {
		text.WriteString(a.Word(offset))
	}
	return text.String()
}
