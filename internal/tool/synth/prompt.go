package synth

import (
	"encoding/binary"
	"strconv"

	"github.com/zeebo/xxh3"
)

// BlockTokens is the size of a cached block in tokens.
const BlockTokens = 2000

// segment is a section of a prompt, which may be shared by many prompts.
type segment struct {
	id     uint64
	tokens int
}

func totalTokens(segments []segment) int {
	total := 0
	for _, s := range segments {
		total += s.tokens
	}
	return total
}

// hashBlocks returns the chained hashes of the complete blocks of a prompt. The
// hash of a block covers every segment that overlaps it.
func hashBlocks(workspace, application string, segments []segment) []uint64 {
	previous := xxh3.HashString(workspace + "/" + application)
	blocks := make([]uint64, totalTokens(segments)/BlockTokens)
	for i := range blocks {
		content := binary.LittleEndian.AppendUint64(nil, previous)
		end := 0
		for _, s := range segments {
			begin := end
			end += s.tokens
			if begin < (i+1)*BlockTokens && end > i*BlockTokens {
				content = binary.LittleEndian.AppendUint64(content, s.id)
			}
		}
		previous = xxh3.Hash(content)
		blocks[i] = previous
	}
	return blocks
}

func requestID(i int) string { return "r" + strconv.Itoa(i) }
