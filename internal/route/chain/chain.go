// Package chain hashes a prompt into a chain of block hashes, which are the cache
// keys of blocks at engines.
//
// Each hash covers its block and all blocks before it. The first is seeded with
// everything that must match for a cached block to be usable, so that blocks of
// another workspace or of older weights have other hashes.
package chain

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// BytesPerToken is the mean length of a token, used to estimate token counts
// from text.
const BytesPerToken = 4

// Seed holds the properties that two prompts must have in common to share cached
// blocks.
type Seed struct {
	// Workspace owns the prompt.
	Workspace string
	// Model is the model's name.
	Model string
	// Adapter is the adapter's name; empty means none.
	Adapter string
	// WeightVersion is the version of the weights.
	WeightVersion string
}

// Hash returns the chained hashes of the complete blocks of text. A block is
// blockTokens estimated tokens long; an incomplete last block has no hash.
//
//	blocks := chain.Hash(chain.Seed{Workspace: "members", Model: "quay-7b"}, prompt, 2000)
func Hash(seed Seed, text []byte, blockTokens int) []uint64 {
	size := blockTokens * BytesPerToken
	if size <= 0 {
		return nil
	}
	blocks := make([]uint64, 0, len(text)/size)
	previous := seed.hash()
	for len(text) >= size {
		previous = link(previous, text[:size])
		blocks = append(blocks, previous)
		text = text[size:]
	}
	return blocks
}

// Tokens estimates the number of tokens in a text.
func Tokens(text []byte) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

func link(previous uint64, block []byte) uint64 {
	return xxh3.HashSeed(block, previous)
}

// hash hashes the fields with length prefixes, so that different seeds have
// different encodings.
func (s Seed) hash() uint64 {
	var buffer []byte
	for _, field := range []string{s.Workspace, s.Model, s.Adapter, s.WeightVersion} {
		buffer = binary.AppendUvarint(buffer, uint64(len(field)))
		buffer = append(buffer, field...)
	}
	return xxh3.Hash(buffer)
}
