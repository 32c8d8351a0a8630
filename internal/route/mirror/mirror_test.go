package mirror_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/route/mirror"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

var (
	start = time.Unix(100, 0)
	later = start.Add(10 * time.Second)
)

func added(seq, block uint64) engine.CacheEvent { return engine.CacheEvent{Seq: seq, Block: block} }
func removed(seq, block uint64) engine.CacheEvent {
	return engine.CacheEvent{Seq: seq, Block: block, Removed: true}
}

func TestFaultyEvents(t *testing.T) {
	prompt := []uint64{1, 2, 3}
	tests := map[string]struct {
		at      time.Time
		batches []engine.CacheEvents
		depth   int
		suspect bool
	}{
		"no event":                      {later, nil, 3, false},
		"removal":                       {later, []engine.CacheEvents{{Incarnation: "a", Events: []engine.CacheEvent{removed(1, 2)}}}, 1, false},
		"removal older than use":        {start, []engine.CacheEvents{{Incarnation: "a", Events: []engine.CacheEvent{removed(1, 2)}}}, 3, false},
		"removal of a past incarnation": {later, []engine.CacheEvents{{Incarnation: "old", Events: []engine.CacheEvent{removed(1, 2)}}}, 3, false},
		"new incarnation":               {later, []engine.CacheEvents{{Incarnation: "b", Events: []engine.CacheEvent{added(1, 1)}}}, 1, false},
		"repeated": {later, []engine.CacheEvents{
			{Incarnation: "a", Events: []engine.CacheEvent{removed(1, 3), added(2, 3)}},
			{Incarnation: "a", Events: []engine.CacheEvent{removed(1, 3)}},
		}, 3, false},
		"gap": {later, []engine.CacheEvents{
			{Incarnation: "a", Events: []engine.CacheEvent{added(1, 9)}},
			{Incarnation: "a", Events: []engine.CacheEvent{added(5, 10)}},
		}, 3, true},
		"missing events come late": {later, []engine.CacheEvents{
			{Incarnation: "a", Events: []engine.CacheEvent{added(1, 9), added(4, 2)}},
			{Incarnation: "a", Events: []engine.CacheEvent{removed(2, 2), removed(3, 3)}},
		}, 3, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := mirror.New(8)
			c.SetIncarnation("old")
			c.SetIncarnation("a")
			c.Touch(start, prompt)
			for _, batch := range test.batches {
				c.ApplyEvents(test.at, batch)
			}
			assert.Equal(t, test.depth, c.Depth(prompt))
			assert.Equal(t, test.suspect, c.MissedEvents())
		})
	}
}

func TestSnapshotRepairsAGap(t *testing.T) {
	c := mirror.New(8)
	c.SetIncarnation("a")
	c.Touch(start, []uint64{1, 2, 3})
	assert.False(t, c.ApplyEvents(start, engine.CacheEvents{Incarnation: "a", Events: []engine.CacheEvent{added(1, 9)}}))
	assert.True(t, c.ApplyEvents(later, engine.CacheEvents{Incarnation: "a", Events: []engine.CacheEvent{added(7, 8)}}))
	c.Touch(later, []uint64{5})
	c.ApplySnapshot(later, engine.Snapshot{Incarnation: "a", Seq: 9, Blocks: []uint64{1, 4}})
	assert.False(t, c.MissedEvents())
	assert.Equal(t, 1, c.Depth([]uint64{1, 2, 3}))
	assert.Equal(t, 1, c.Depth([]uint64{4}))
	assert.Equal(t, 1, c.Depth([]uint64{5}), "a block used recently should outlive the snapshot")
	c.ApplySnapshot(later, engine.Snapshot{Incarnation: "other"})
	c.ApplySnapshot(later, engine.Snapshot{Incarnation: "a", Blocks: []uint64{1}})
	assert.Zero(t, c.Depth([]uint64{1}), "a snapshot of a past incarnation should be ignored")
}

func TestCacheIsBoundedAndDroppedOnRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 20).Draw(t, "capacity")
		c := mirror.New(capacity)
		blocks := rapid.SliceOfN(rapid.Uint64Range(1, 40), 0, 30)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				c.Touch(start, blocks.Draw(t, "blocks"))
			case 1:
				c.ApplySnapshot(later, engine.Snapshot{Incarnation: "a", Blocks: blocks.Draw(t, "blocks")})
			case 2:
				c.ApplyEvents(later, engine.CacheEvents{Incarnation: "a", Events: []engine.CacheEvent{added(rapid.Uint64Range(1, 99).Draw(t, "seq"), 7)}})
			case 3:
				c.Forget(blocks.Draw(t, "blocks"))
			}
			assert.LessOrEqual(t, c.Len(), capacity)
		}
		c.SetIncarnation("a")
		c.SetIncarnation("b")
		assert.Zero(t, c.Len())
	})
}

func ExampleCache_Depth() {
	cache := mirror.New(64)
	cache.Touch(time.Unix(0, 0), []uint64{1, 2})
	fmt.Println(cache.Depth([]uint64{1, 2, 3}))
	// Output: 2
}
