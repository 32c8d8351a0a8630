package trace

import (
	"encoding/binary"
	"strconv"

	"github.com/zeebo/xxh3"
)

// BlockTokens is the length of a cached block in tokens.
const BlockTokens = 2000

// part is a stretch of a prompt that many prompts may share.
type part struct {
	id     uint64
	tokens int
}

func length(parts []part) int {
	tokens := 0
	for _, p := range parts {
		tokens += p.tokens
	}
	return tokens
}

// hash names the whole blocks of a prompt. A block in which two parts meet
// depends on both.
func hash(workspace, application string, parts []part) []uint64 {
	previous := xxh3.HashString(workspace + "/" + application)
	blocks := make([]uint64, length(parts)/BlockTokens)
	for i := range blocks {
		content := binary.LittleEndian.AppendUint64(nil, previous)
		end := 0
		for _, p := range parts {
			begin := end
			end += p.tokens
			if begin < (i+1)*BlockTokens && end > i*BlockTokens {
				content = binary.LittleEndian.AppendUint64(content, p.id)
			}
		}
		previous = xxh3.Hash(content)
		blocks[i] = previous
	}
	return blocks
}

func name(i int) string { return "r" + strconv.Itoa(i) }
