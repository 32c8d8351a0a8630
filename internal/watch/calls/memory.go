package calls

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/cicadamill/cicadamill/internal/route/job"
)

const maxKnownBlocks = 32 << 10

// memory remembers which prompt blocks some engine has computed for a request
// of this node, so that computing them again can be counted.
type memory struct {
	blocks *lru.Cache[uint64, struct{}]
}

func newMemory() *memory {
	blocks, _ := lru.New[uint64, struct{}](maxKnownBlocks)
	return &memory{blocks: blocks}
}

// known returns how many tokens of the prompt's prefix were computed before.
func (m *memory) known(j job.Job) int {
	for i, block := range j.Blocks {
		if _, ok := m.blocks.Get(block); !ok {
			return i * j.BlockTokens
		}
	}
	return len(j.Blocks) * j.BlockTokens
}

func (m *memory) learn(j job.Job) {
	for _, block := range j.Blocks {
		m.blocks.Add(block, struct{}{})
	}
}
