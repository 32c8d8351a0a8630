// Package level learns from traffic, in bounded memory, at which blocks prompts
// branch. A prefix level ends at a block after which prompts have continued
// differently.
package level

import "github.com/hashicorp/golang-lru/v2/simplelru"

// Finder records for each recent block which block followed it.
type Finder struct {
	blocks *simplelru.LRU[uint64, *successor]
}

type successor struct {
	// next is the first block seen to follow; zero while prompts have only ended
	// here.
	next uint64
	// branched is true once prompts have continued differently.
	branched bool
}

// New returns a finder for the size most recently seen blocks.
//
//	finder := level.New(65536)
//	depths := finder.Observe(job.Blocks)
func New(size int) *Finder {
	blocks, _ := simplelru.NewLRU[uint64, *successor](max(1, size), nil)
	return &Finder{blocks: blocks}
}

// Len returns the number of blocks recorded.
func (f *Finder) Len() int { return f.blocks.Len() }

// Observe records a prompt and returns the numbers of blocks at which its levels
// end, in ascending order. The last is always the whole prompt.
func (f *Finder) Observe(blocks []uint64) []int {
	var depths []int
	for i, block := range blocks {
		last := i == len(blocks)-1
		known, ok := f.blocks.Get(block)
		switch {
		case !ok && last:
			f.blocks.Add(block, &successor{})
		case !ok:
			f.blocks.Add(block, &successor{next: blocks[i+1]})
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
