// Package know holds what a router believes to be in one engine's cache. The
// belief comes from the router's own history, from answer headers, and from
// cache events that may be late, repeated or missing. It belongs to one
// incarnation of the engine and is dropped with it.
package know

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	// maxEntries bounds the belief about one engine.
	maxEntries = 8192
	// pastKept is the number of former incarnations whose late messages are
	// recognised.
	pastKept = 4
	// trusted is how long a block that the router has just used is believed
	// against a removal event, which may be older than the use.
	trusted = 2 * time.Second
)

// Cache is the belief about one engine. See [New].
type Cache struct {
	capacity    int
	blocks      *simplelru.LRU[uint64, time.Time]
	incarnation string
	past        []string
	seq         uint64
	suspect     bool
}

// New returns an empty belief about an engine whose cache holds capacity
// blocks; zero means unknown.
//
//	cache := know.New(64)
//	cache.Touch(now, job.Blocks)
//	hit := cache.Depth(job.Blocks)
func New(capacity int) *Cache {
	if capacity <= 0 || capacity > maxEntries {
		capacity = maxEntries
	}
	blocks, _ := simplelru.NewLRU[uint64, time.Time](capacity, nil)
	return &Cache{capacity: capacity, blocks: blocks}
}

// Incarnation returns the engine start that the belief is about; empty while
// unknown.
func (c *Cache) Incarnation() string { return c.incarnation }

// Len returns the number of blocks believed to be cached.
func (c *Cache) Len() int { return c.blocks.Len() }

// Full reports whether a further block evicts another.
func (c *Cache) Full() bool { return c.blocks.Len() >= c.capacity }

// Suspect reports whether events are known to be missing.
func (c *Cache) Suspect() bool { return c.suspect }

// Meet takes an incarnation that the engine was seen with. It reports false
// for one that is past. A new one empties the belief, unless none was known.
func (c *Cache) Meet(incarnation string) bool {
	switch {
	case incarnation == "" || incarnation == c.incarnation:
		return true
	case slices.Contains(c.past, incarnation):
		return false
	case c.incarnation == "":
		c.incarnation = incarnation
		return true
	}
	c.Drop()
	c.incarnation = incarnation
	return true
}

// Clear forgets the blocks, as when the engine has loaded other weights. The
// incarnation goes on.
func (c *Cache) Clear() { c.blocks.Purge() }

// Drop forgets everything, as when the engine has died.
func (c *Cache) Drop() {
	if c.incarnation != "" {
		c.past = append(c.past, c.incarnation)
		c.past = c.past[max(0, len(c.past)-pastKept):]
	}
	c.blocks.Purge()
	c.incarnation, c.seq, c.suspect = "", 0, false
}

// Depth returns how many of a prompt's first blocks are believed to be cached.
func (c *Cache) Depth(blocks []uint64) int {
	for i, block := range blocks {
		if !c.blocks.Contains(block) {
			return i
		}
	}
	return len(blocks)
}

// Touch notes that the engine works on a prompt, so that its blocks are the
// last to be evicted, the first block last of all.
func (c *Cache) Touch(now time.Time, blocks []uint64) {
	for _, block := range slices.Backward(blocks) {
		c.blocks.Add(block, now)
	}
}

// Forget removes blocks that were never computed or were found missing.
func (c *Cache) Forget(blocks []uint64) {
	for _, block := range blocks {
		c.blocks.Remove(block)
	}
}

// Apply takes cache events and reports whether some before them are missing.
func (c *Cache) Apply(now time.Time, batch engine.Batch) bool {
	if !c.Meet(batch.Incarnation) {
		return false
	}
	gap := false
	for _, event := range batch.Events {
		if event.Seq <= c.seq {
			continue
		}
		gap = gap || (c.seq > 0 && event.Seq > c.seq+1)
		c.seq = event.Seq
		c.note(now, event)
	}
	c.suspect = c.suspect || gap
	return gap
}

func (c *Cache) note(now time.Time, event engine.CacheEvent) {
	used, known := c.blocks.Peek(event.Block)
	switch {
	case event.Removed && known && now.Sub(used) > trusted:
		c.blocks.Remove(event.Block)
	case !event.Removed && !known:
		c.blocks.Add(event.Block, now.Add(-trusted))
	}
}

// Load replaces the belief by a snapshot, but for blocks in use just now.
func (c *Cache) Load(now time.Time, snapshot engine.Snapshot) {
	if !c.Meet(snapshot.Incarnation) {
		return
	}
	c.suspect = false
	c.seq = max(c.seq, snapshot.Seq)
	held := make(map[uint64]struct{}, len(snapshot.Blocks))
	for _, block := range snapshot.Blocks {
		held[block] = struct{}{}
	}
	for _, block := range c.blocks.Keys() {
		used, _ := c.blocks.Peek(block)
		if _, ok := held[block]; !ok && now.Sub(used) > trusted {
			c.blocks.Remove(block)
		}
	}
	for _, block := range snapshot.Blocks {
		if !c.blocks.Contains(block) {
			c.blocks.Add(block, now.Add(-trusted))
		}
	}
}
