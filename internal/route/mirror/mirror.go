// Package mirror estimates the content of an engine's prefix cache. The estimate
// comes from the requests that this node sent, from answer headers, and from cache
// events that may be late, repeated or missing. It belongs to one incarnation of
// the engine and is dropped with it.
package mirror

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	// maxBlocks bounds the estimated blocks of an engine.
	maxBlocks = 8192
	// maxPastIncarnations is the number of past incarnations whose late messages are
	// recognised and ignored.
	maxPastIncarnations = 4
	// useProtection is the time after a block's use during which removal events and
	// snapshots do not remove it, because they may be older than the use.
	useProtection = 2 * time.Second
)

// Cache is the estimate for one engine. See [New].
type Cache struct {
	capacity int
	// blocks maps each block to the time of its last use.
	blocks           *simplelru.LRU[uint64, time.Time]
	incarnation      string
	pastIncarnations []string
	seq              uint64
	suspect          bool
}

// New returns an empty estimate for an engine whose cache holds capacity blocks;
// zero means unknown.
//
//	cache := mirror.New(64)
//	cache.Touch(now, job.Blocks)
//	hit := cache.Depth(job.Blocks)
func New(capacity int) *Cache {
	if capacity <= 0 || capacity > maxBlocks {
		capacity = maxBlocks
	}
	blocks, _ := simplelru.NewLRU[uint64, time.Time](capacity, nil)
	return &Cache{capacity: capacity, blocks: blocks}
}

// Incarnation returns the incarnation that the estimate belongs to; empty while
// unknown.
func (c *Cache) Incarnation() string { return c.incarnation }

// Len returns the number of blocks estimated to be cached.
func (c *Cache) Len() int { return c.blocks.Len() }

// Full reports whether adding a block evicts another.
func (c *Cache) Full() bool { return c.blocks.Len() >= c.capacity }

// MissedEvents reports whether events have been missed since the last snapshot.
func (c *Cache) MissedEvents() bool { return c.suspect }

// SetIncarnation records the incarnation that a message of the engine carries. It
// reports false for a past one. A new one drops the estimate, unless the incarnation
// was unknown before.
func (c *Cache) SetIncarnation(incarnation string) bool {
	switch {
	case incarnation == "" || incarnation == c.incarnation:
		return true
	case slices.Contains(c.pastIncarnations, incarnation):
		return false
	case c.incarnation == "":
		c.incarnation = incarnation
		return true
	}
	c.Drop()
	c.incarnation = incarnation
	return true
}

// Clear drops the blocks and keeps the incarnation, as when the engine has loaded
// other weights.
func (c *Cache) Clear() { c.blocks.Purge() }

// Drop drops the blocks and the incarnation, as when the engine has restarted.
func (c *Cache) Drop() {
	if c.incarnation != "" {
		c.pastIncarnations = append(c.pastIncarnations, c.incarnation)
		c.pastIncarnations = c.pastIncarnations[max(0, len(c.pastIncarnations)-maxPastIncarnations):]
	}
	c.blocks.Purge()
	c.incarnation, c.seq, c.suspect = "", 0, false
}

// Depth returns the length, in blocks, of the prompt prefix estimated to be
// cached.
func (c *Cache) Depth(blocks []uint64) int {
	for i, block := range blocks {
		if !c.blocks.Contains(block) {
			return i
		}
	}
	return len(blocks)
}

// Touch records that the engine uses the blocks of a prompt now. They become the
// last to be evicted, and the first block the very last.
func (c *Cache) Touch(now time.Time, blocks []uint64) {
	for _, block := range slices.Backward(blocks) {
		c.blocks.Add(block, now)
	}
}

// Forget removes blocks that were not computed or that the engine did not have.
func (c *Cache) Forget(blocks []uint64) {
	for _, block := range blocks {
		c.blocks.Remove(block)
	}
}

// ApplyEvents applies cache events and reports whether earlier events were missed.
func (c *Cache) ApplyEvents(now time.Time, batch engine.CacheEvents) bool {
	if !c.SetIncarnation(batch.Incarnation) {
		return false
	}
	gap := false
	for _, event := range batch.Events {
		if event.Seq <= c.seq {
			continue
		}
		gap = gap || (c.seq > 0 && event.Seq > c.seq+1)
		c.seq = event.Seq
		c.applyEvent(now, event)
	}
	c.suspect = c.suspect || gap
	return gap
}

func (c *Cache) applyEvent(now time.Time, event engine.CacheEvent) {
	used, known := c.blocks.Peek(event.Block)
	switch {
	case event.Removed && known && now.Sub(used) > useProtection:
		c.blocks.Remove(event.Block)
	case !event.Removed && !known:
		c.blocks.Add(event.Block, now.Add(-useProtection))
	}
}

// ApplySnapshot replaces the estimate by a snapshot, except for blocks used
// recently.
func (c *Cache) ApplySnapshot(now time.Time, snapshot engine.Snapshot) {
	if !c.SetIncarnation(snapshot.Incarnation) {
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
		if _, ok := held[block]; !ok && now.Sub(used) > useProtection {
			c.blocks.Remove(block)
		}
	}
	for _, block := range snapshot.Blocks {
		if !c.blocks.Contains(block) {
			c.blocks.Add(block, now.Add(-useProtection))
		}
	}
}
