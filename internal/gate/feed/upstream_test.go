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

// upstream is the node on which a feed relies.
type upstream struct {
	// until is how long it has its word from the store; after that its word ages.
	until   time.Duration
	began   time.Time
	version uint64
	asked   int
}

func (u *upstream) word(string) (uint64, time.Duration, bool) {
	age := time.Since(u.began) - u.until
	return u.version, max(age, 0), u.version > 0
}

func (u *upstream) rows(_ context.Context, _ string, after uint64) (feed.Page, error) {
	u.asked++
	if after >= u.version {
		return page(u.version), nil
	}
	return page(u.version, row("a", u.version)), nil
}

// Pattern: one reader for many. A node whose upstream has fresh word of the store
// makes no call of its own; once that word is old it asks the store, from the
// version on that it knows.
func TestFeedReliesOnFreshWordAlone(t *testing.T) {
	tests := map[string]struct {
		until time.Duration
		calls []string
		told  []string
	}{
		"fresh all the time":     {time.Minute, nil, []string{"change a"}},
		"cut off from the store": {4 * time.Second, []string{"watch", "watch"}, []string{"change a", "change b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstream{until: test.until, began: time.Now(), version: 5}
				s := &source{watches: []answer{{page: page(7, row("b", 7))}, {page: page(7)}}}
				var told []string
				var at time.Duration
				f := feed.New(feed.Options{
					Table: "t", Source: s, Peers: u.rows, Upstream: u.word,
					Reset: func(p feed.Page) { told = append(told, "reset "+keys(p)) },
					Change: func(p feed.Page) {
						told = append(told, "change "+keys(p))
						at = time.Since(u.began)
					},
					Scope: tally.NoopScope, Logger: hclog.NewNullLogger(),
				})
				ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
				defer cancel()
				assert.Error(t, f.Serve(ctx))
				assert.Equal(t, test.calls, s.calls)
				assert.Equal(t, test.told, told)
				assert.Equal(t, 1, u.asked, "rows are asked for when there is news")
				assert.LessOrEqual(t, at, test.until+1600*time.Millisecond, "in time for a configuration to be in force")
			})
		})
	}
}

// TestRemovedRowsAreForgotten: rows come and go all day, and a node that asks from
// long ago gets the whole table.
func TestRemovedRowsAreForgotten(t *testing.T) {
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
		assert.Equal(t, feed.Page{Version: 8, Whole: true, Rows: []feed.Row{row("b", 2), row("c", 8)}}, f.Known(3), "the removal is not remembered")
		assert.Equal(t, feed.Page{Version: 8, Rows: []feed.Row{row("c", 8)}}, f.Known(6))
	})
}

// TestWholePageOfAPeerRemovesRows: what is not on it is gone.
func TestWholePageOfAPeerRemovesRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{lists: []answer{{page: page(3, row("a", 1), row("b", 2))}}, watches: []answer{{err: errAway}}}
		whole := page(9, row("b", 2), row("c", 8))
		whole.Whole = true
		told, f := run(t, s, func(_ context.Context, _ string, after uint64) (feed.Page, error) {
			if after >= 9 {
				return page(9), nil
			}
			return whole, nil
		}, 3*time.Second)
		assert.Equal(t, []string{"reset ab", "reset bc"}, told)
		assert.Equal(t, []feed.Row{{Key: "a", Version: 9, Removed: true}, row("c", 8)}, f.Known(3).Rows)
	})
}
