// Package words generates the output of the engine stand-in. Each word is a hash
// of the whole prompt, the version of the weights, the adapter and the offset. A
// test can therefore check every byte of a stream, also one that was resumed on
// another engine.
package words

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/zeebo/xxh3"
)

// Generator generates the words of one response.
type Generator struct {
	seed uint64
}

// New returns the response to a prompt.
//
//	answer := words.New(request.Prompt, "7", "")
//	first := answer.Word(0)
func New(prompt []byte, weightVersion, adapter string) Generator {
	seed := xxh3.HashString(weightVersion + "\x00" + adapter)
	return Generator{seed: xxh3.HashSeed(prompt, seed)}
}

// ID returns the ID of the response, which is the same on every engine.
func (g Generator) ID() string { return fmt.Sprintf("chatcmpl-%016x", g.seed) }

// Word returns the word at an offset, which is the text of one chunk.
func (g Generator) Word(offset int) string {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], uint64(offset))
	return fmt.Sprintf("w%d-%04x ", offset, xxh3.HashSeed(buffer[:], g.seed)&0xffff)
}

// Text returns the words at the offsets from up to but not including to.
func (g Generator) Text(from, to int) string {
	var text strings.Builder
	for offset := from; offset < to; offset++ {
		text.WriteString(g.Word(offset))
	}
	return text.String()
}
