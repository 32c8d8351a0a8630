package pick

import "github.com/hashicorp/golang-lru/v2/simplelru"

// maxParts bounds the belief about one cache.
const maxParts = 1 << 14

// belief is what is believed to be in one cache, which yields what was used
// least recently.
type belief struct {
	parts    *simplelru.LRU[uint64, int]
	held     int
	capacity int
}

func newBelief(capacity int) *belief {
	b := &belief{capacity: capacity}
	b.parts, _ = simplelru.NewLRU(maxParts, func(_ uint64, tokens int) { b.held -= tokens })
	return b
}

// touch notes that a part is in the cache and was used last, and drops what no
// longer fits.
func (b *belief) touch(part uint64, tokens int) {
	if old, ok := b.parts.Get(part); ok {
		b.held -= old
	}
	b.parts.Add(part, tokens)
	b.held += tokens
	for b.held > b.capacity {
		if _, _, ok := b.parts.RemoveOldest(); !ok {
			return
		}
	}
}

// depth returns the tokens of the first parts that the cache holds.
func (b *belief) depth(parts []part) int {
	tokens := 0
	for _, p := range parts {
		if !b.parts.Contains(p.key) {
			break
		}
		tokens += p.tokens
	}
	return tokens
}
