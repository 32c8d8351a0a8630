// Package level finds the levels at which prompts branch, from the traffic
// itself and in bounded memory. A level ends at a block that different blocks
// have followed.
package level

import "github.com/hashicorp/golang-lru/v2/simplelru"

// Finder remembers which blocks have followed which.
type Finder struct {
	blocks *simplelru.LRU[uint64, *follow]
}

type follow struct {
	next     uint64
	branched bool
}

// New returns a finder that remembers at most size blocks.
//
//	finder := level.New(65536)
//	depths := finder.Observe(job.Blocks)
func New(size int) *Finder {
	blocks, _ := simplelru.NewLRU[uint64, *follow](max(1, size), nil)
	return &Finder{blocks: blocks}
}

// Len returns the number of blocks remembered.
func (f *Finder) Len() int { return f.blocks.Len() }

// Observe learns from a prompt and returns the numbers of blocks at which its
// levels end, in rising order. The whole prompt is always the last.
func (f *Finder) Observe(blocks []uint64) []int {
	var depths []int
	for i, block := range blocks {
		last := i == len(blocks)-1
		known, ok := f.blocks.Get(block)
		switch {
		case !ok && last:
			f.blocks.Add(block, &follow{})
		case !ok:
			f.blocks.Add(block, &follow{next: blocks[i+1]})
		case !last && known.next == 0:
			known.next = blocks[i+1]
			known.branched = true
		case !last && known.next != blocks[i+1]:
			known.branched = true
		}
		if last || (ok && known.branched) {
			depths = append(depths, i+1)
		}
	}
	return depths
}
