package calls

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/cicadamill/cicadamill/internal/route/job"
)

const maxHistoryBlocks = 32 << 10

// blockHistory is an LRU cache of the prompt blocks that engines have computed for
// requests of this node, to count recomputed tokens.
type blockHistory struct {
	blocks *lru.Cache[uint64, struct{}]
}

func newBlockHistory() *blockHistory {
	blocks, _ := lru.New[uint64, struct{}](maxHistoryBlocks)
	return &blockHistory{blocks: blocks}
}

// computedTokens returns the length of the prompt's prefix that was computed
// before.
func (h *blockHistory) computedTokens(j job.Job) int {
	for i, block := range j.Blocks {
		if _, ok := h.blocks.Get(block); !ok {
			return i * j.BlockTokens
		}
	}
	return len(j.Blocks) * j.BlockTokens
}

func (h *blockHistory) add(j job.Job) {
	for _, block := range j.Blocks {
		h.blocks.Add(block, struct{}{})
	}
}
