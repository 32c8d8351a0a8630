package feed_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/gate/feed"
)

// upstream is the node that a feed relies on.
type upstream struct {
	// until is how long the store confirms its version; from then on it ages.
	until    time.Duration
	began    time.Time
	version  uint64
	requests int
}

func (u *upstream) state(string) (uint64, time.Duration, bool) {
	age := time.Since(u.began) - u.until
	return u.version, max(age, 0), u.version > 0
}

func (u *upstream) rows(_ context.Context, _ string, after uint64) (feed.Page, error) {
	u.requests++
	if after >= u.version {
		return page(u.version), nil
	}
	return page(u.version, row("a", u.version)), nil
}

// Single reader: while the upstream's copy is current, a node must not call the
// store, which would multiply the load on it by the number of nodes. Once the
// copy is too old, the node must watch the store from the version it already
// has.
func TestFeedReliesOnCurrentUpstream(t *testing.T) {
	tests := map[string]struct {
		until     time.Duration
		calls     []string
		callbacks []string
	}{
		"fresh all the time":     {time.Minute, nil, []string{"change a"}},
		"cut off from the store": {4 * time.Second, []string{"watch", "watch"}, []string{"change a", "change b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstream{until: test.until, began: time.Now(), version: 5}
				s := &source{watches: []answer{{page: page(7, row("b", 7))}, {page: page(7)}}}
				var callbacks []string
				var at time.Duration
				f := feed.New(feed.Options{
					Table: "t", Source: s, FetchFromPeer: u.rows, Upstream: u.state,
					Reset: func(p feed.Page) { callbacks = append(callbacks, "reset "+keys(p)) },
					Change: func(p feed.Page) {
						callbacks = append(callbacks, "change "+keys(p))
						at = time.Since(u.began)
					},
					Scope: tally.NoopScope, Logger: hclog.NewNullLogger(),
				})
				ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
				defer cancel()
				assert.Error(t, f.Serve(ctx))
				assert.Equal(t, test.calls, s.calls)
				assert.Equal(t, test.callbacks, callbacks)
				assert.Equal(t, 1, u.requests, "rows are requested only for a new version")
				assert.LessOrEqual(t, at, test.until+1600*time.Millisecond, "early enough for a new configuration to be applied")
			})
		})
	}
}

// Tombstones must be pruned, or they would accumulate while rows come and go. A
// node that requests changes since a pruned version must get the whole table.
func TestTombstonesArePruned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gone := feed.Row{Key: "a", Version: 6, Removed: true}
		s := &source{
			lists: []answer{{page: page(3, row("a", 1), row("b", 2))}},
			watches: []answer{
				{page: page(6, gone)}, {page: page(6)}, {page: page(6)}, {page: page(6)}, {page: page(6)}, {page: page(6)}, {page: page(6)},
				{page: page(6)}, {page: page(6)}, {page: page(6)}, {page: page(8, row("c", 8))}, {page: page(8)},
			},
		}
		_, f := run(t, s, nil, time.Minute)
		assert.Equal(t, feed.Page{Version: 8, Whole: true, Rows: []feed.Row{row("b", 2), row("c", 8)}}, f.Changes(3), "the tombstone has been pruned")
		assert.Equal(t, feed.Page{Version: 8, Since: 6, Rows: []feed.Row{row("c", 8)}}, f.Changes(6))
	})
}

// Rows missing from a whole table that a peer returns must be removed.
func TestWholePageOfAPeerRemovesRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{lists: []answer{{page: page(3, row("a", 1), row("b", 2))}}, watches: []answer{{err: errUnavailable}}}
		whole := page(9, row("b", 2), row("c", 8))
		whole.Whole = true
		callbacks, f := run(t, s, func(_ context.Context, _ string, after uint64) (feed.Page, error) {
			if after >= 9 {
				return page(9), nil
			}
			return whole, nil
		}, 3*time.Second)
		assert.Equal(t, []string{"reset ab", "reset bc"}, callbacks)
		assert.Equal(t, []feed.Row{{Key: "a", Version: 9, Removed: true}, row("c", 8)}, f.Changes(3).Rows)
	})
}
