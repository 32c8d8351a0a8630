package feed_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/gate/feed"
)

// TestChangesSinceBeforeTheListing guards against requests to targets that had left: a
// node that listed the table after a row was removed had no trace of it, and passed its
// own rows on as all changes since a version before the removal.
func TestChangesSinceBeforeTheListing(t *testing.T) {
	lost := &feed.LostHistoryError{Table: "t"}
	tests := map[string]struct {
		source source
		after  uint64
		whole  bool
		rows   []feed.Row
	}{
		"older than the only listing": {
			source: source{lists: []answer{{page: page(9, row("a", 1))}}, watches: []answer{{page: page(9)}}},
			after:  5, whole: true, rows: []feed.Row{row("a", 1)},
		},
		"as new as the listing": {
			source: source{lists: []answer{{page: page(9, row("a", 1))}}, watches: []answer{{page: page(10, row("b", 10))}, {page: page(10)}}},
			after:  9, rows: []feed.Row{row("b", 10)},
		},
		"between two listings": {
			source: source{lists: []answer{{page: page(3, row("a", 1))}, {page: page(9, row("a", 1))}}, watches: []answer{{err: lost}, {page: page(9)}}},
			after:  5, whole: true, rows: []feed.Row{row("a", 1)},
		},
		"as new as the first listing": {
			source: source{lists: []answer{{page: page(3, row("a", 1), row("b", 2))}, {page: page(9, row("a", 1))}}, watches: []answer{{err: lost}, {page: page(9)}}},
			after:  3, rows: []feed.Row{{Key: "b", Version: 9, Removed: true}},
		},
		"as new as the second listing": {
			source: source{lists: []answer{{page: page(3, row("a", 1))}, {page: page(9, row("a", 1))}}, watches: []answer{{err: lost}, {page: page(9)}}},
			after:  9,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, f := run(t, &test.source, nil, 10*time.Second)
				got := f.Changes(test.after)
				assert.Equal(t, test.whole, got.Whole)
				assert.Equal(t, test.rows, got.Rows)
			})
		})
	}
}

// tableStore is a store of one table that keeps every version of it.
type tableStore struct {
	mu sync.Mutex
	// snapshots are the versions of each row by the table's version.
	snapshots []map[string]uint64
	// changes are the changed rows in order.
	changes []feed.Row
	// oldest is the version since which changes are kept.
	oldest  uint64
	failing bool
	changed chan struct{}
}

func newTableStore() *tableStore {
	return &tableStore{snapshots: []map[string]uint64{{}}, changed: make(chan struct{})}
}

func (s *tableStore) version() uint64 { return uint64(len(s.snapshots) - 1) }

func (s *tableStore) change(key string, remove bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(s.snapshots[s.version()])
	row := feed.Row{Key: key, Version: s.version() + 1, Removed: remove}
	if remove {
		delete(next, key)
	} else {
		next[key] = row.Version
	}
	s.snapshots, s.changes = append(s.snapshots, next), append(s.changes, row)
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropHistory ends all watches, which then have to list the table.
func (s *tableStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.version()
}

func (s *tableStore) setFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = failing
}

func (s *tableStore) List(context.Context, string) (feed.Page, error) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing {
		return feed.Page{}, errUnavailable
	}
	listed := feed.Page{Version: s.version()}
	for key, version := range s.snapshots[s.version()] {
		listed.Rows = append(listed.Rows, feed.Row{Key: key, Version: version})
	}
	return listed, nil
}

func (s *tableStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (feed.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed, failing, oldest, version := s.changed, s.failing, s.oldest, s.version()
		changes := s.changes[min(after, version):]
		s.mu.Unlock()
		switch {
		case failing:
			return feed.Page{}, errUnavailable
		case after < oldest:
			return feed.Page{}, &feed.LostHistoryError{Table: table, After: after}
		case version > after:
			return feed.Page{Version: version, Rows: changes}, nil
		}
		select {
		case <-ctx.Done():
			return feed.Page{}, ctx.Err()
		case <-timer.C:
			return feed.Page{Version: version}, nil
		case <-changed:
		}
	}
}

// copies are feeds of one table that rely on each other and are restarted.
type copies struct {
	store *tableStore

	mu     sync.Mutex
	feeds  []*feed.Feed
	stop   []context.CancelFunc
	parent []int
	ended  chan error
	run    int
}

func (c *copies) start(ctx context.Context, index int) {
	ctx, cancel := context.WithCancel(ctx)
	f := feed.New(feed.Options{
		Table: "t", Source: c.store, Reset: func(feed.Page) {}, Change: func(feed.Page) {},
		Upstream:      func(string) (uint64, time.Duration, bool) { return c.upstream(index) },
		FetchFromPeer: func(_ context.Context, _ string, after uint64) (feed.Page, error) { return c.fetch(index, after) },
		HasChildren:   func() bool { return index < 2 }, Scope: tally.NoopScope, Logger: hclog.NewNullLogger(),
	})
	c.mu.Lock()
	c.feeds[index], c.stop[index] = f, cancel
	c.run++
	c.mu.Unlock()
	go func(ctx context.Context) { c.ended <- f.Serve(ctx) }(ctx)
}

func (c *copies) at(index int) *feed.Feed {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.feeds[index]
}

func (c *copies) parentOf(index int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parent[index]
}

func (c *copies) upstream(index int) (uint64, time.Duration, bool) {
	parent := c.parentOf(index)
	if parent == index {
		return 0, 0, false
	}
	f := c.at(parent)
	age, ok := f.ConfirmedAge(time.Now())
	return f.Version(), age, ok
}

func (c *copies) fetch(index int, after uint64) (feed.Page, error) {
	time.Sleep(2 * time.Millisecond)
	page := c.at(c.parentOf(index)).Changes(after)
	page.Sender = "parent"
	if page.Version == 0 {
		return page, errUnavailable
	}
	return page, nil
}

// assertNoHoles checks that each copy is the table as of the copy's version.
func (c *copies) assertNoHoles(t *testing.T) {
	t.Helper()
	for index := range c.feeds {
		held := c.at(index).Changes(0)
		rows := map[string]uint64{}
		for _, row := range held.Rows {
			if !row.Removed {
				rows[row.Key] = row.Version
			}
		}
		c.store.mu.Lock()
		want := c.store.snapshots[held.Version]
		c.store.mu.Unlock()
		require.Equal(t, want, rows, "copy %d at version %d", index, held.Version)
	}
}

// TestCopiesHaveNoHoles guards against copies that lack changes which their version
// covers, while nodes restart, follow each other and lose the store.
func TestCopiesHaveNoHoles(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playCopies(t, seed) })
		})
	}
}

func playCopies(t *testing.T, seed uint64) {
	const nodes, keys, steps = 6, 12, 150
	random := rand.New(rand.NewPCG(seed, 7))
	ctx, cancel := context.WithCancel(t.Context())
	c := &copies{store: newTableStore(), feeds: make([]*feed.Feed, nodes), stop: make([]context.CancelFunc, nodes), parent: make([]int, nodes), ended: make(chan error, steps*nodes)}
	defer func() {
		cancel()
		for range c.run {
			<-c.ended
		}
	}()
	for key := range keys {
		c.store.change(fmt.Sprint(key), false)
	}
	for index := range nodes {
		c.start(ctx, index)
	}
	for range steps {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		c.assertNoHoles(t)
		switch kind := random.IntN(20); {
		case kind < 9:
			for range 1 + random.IntN(3) {
				c.store.change(fmt.Sprint(random.IntN(keys)), random.IntN(2) == 0)
			}
		case kind < 13:
			for range 1 + random.IntN(3) {
				index := random.IntN(nodes)
				c.stop[index]()
				c.start(ctx, index)
			}
		case kind < 16:
			index := random.IntN(nodes)
			c.mu.Lock()
			c.parent[index] = random.IntN(nodes)
			c.mu.Unlock()
		case kind < 17:
			c.store.dropHistory()
		default:
			c.store.setFailing(random.IntN(3) == 0)
		}
	}
	c.store.setFailing(false)
	time.Sleep(10 * time.Second)
	c.assertNoHoles(t)
	for index := range nodes {
		assert.Equal(t, c.store.version(), c.at(index).Version(), "copy %d", index)
	}
}
