package pick

import "github.com/hashicorp/golang-lru/v2/simplelru"

// maxParts bounds the number of parts tracked per cache.
const maxParts = 1 << 14

// cacheIndex estimates the contents of one engine or store cache and evicts the
// least recently used parts.
type cacheIndex struct {
	parts    *simplelru.LRU[uint64, cachedPart]
	tokens   int
	capacity int
}

// cachedPart is the cached state of one prompt part.
type cachedPart struct {
	// tokens is how many of the part's tokens are cached.
	tokens int
	// confirmed is true once the part's prefill has completed or the cache has
	// reported it; only confirmed parts can be copied to another engine.
	confirmed bool
}

func newCacheIndex(capacity int) *cacheIndex {
	c := &cacheIndex{capacity: capacity}
	c.parts, _ = simplelru.NewLRU(maxParts, func(_ uint64, e cachedPart) { c.tokens -= e.tokens })
	return c
}

// touch marks a part as placed in the cache and most recently used, and evicts
// parts that no longer fit.
func (c *cacheIndex) touch(part uint64, tokens int) {
	old, _ := c.parts.Get(part)
	c.set(part, cachedPart{tokens: max(tokens, old.tokens), confirmed: old.confirmed && old.tokens >= tokens})
}

// update records the token count that the cache itself reports for a part.
func (c *cacheIndex) update(part uint64, tokens int) {
	if tokens == 0 {
		c.parts.Remove(part)
		return
	}
	c.set(part, cachedPart{tokens: tokens, confirmed: true})
}

func (c *cacheIndex) set(part uint64, e cachedPart) {
	if old, ok := c.parts.Peek(part); ok {
		c.tokens -= old.tokens
	}
	c.parts.Add(part, e)
	c.tokens += e.tokens
	for c.tokens > c.capacity {
		if _, _, ok := c.parts.RemoveOldest(); !ok {
			return
		}
	}
}

// confirmedParts returns the confirmed parts of the named cache, least recently
// used first.
func (c *cacheIndex) confirmedParts(name string) []Placement {
	var parts []Placement
	for _, key := range c.parts.Keys() {
		if e, ok := c.parts.Peek(key); ok && e.confirmed {
			parts = append(parts, Placement{Part: key, Tokens: e.tokens, Target: name, Confirmed: true})
		}
	}
	return parts
}

// confirm marks parts as confirmed once their prefill has completed.
func (c *cacheIndex) confirm(parts []part) {
	for _, p := range parts {
		if e, ok := c.parts.Peek(p.key); ok && !e.confirmed {
			c.update(p.key, e.tokens)
		}
	}
}

// prefixTokens returns how many tokens of the leading parts are cached, and how
// many of these are in an unbroken run of confirmed parts.
func (c *cacheIndex) prefixTokens(parts []part) (cached, confirmed int) {
	allConfirmed := true
	for _, p := range parts {
		e, ok := c.parts.Peek(p.key)
		if !ok {
			return cached, confirmed
		}
		tokens := min(e.tokens, p.tokens)
		cached += tokens
		allConfirmed = allConfirmed && e.confirmed
		if allConfirmed {
			confirmed += tokens
		}
		if tokens < p.tokens {
			return cached, confirmed
		}
	}
	return cached, confirmed
}
