package feed_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/gate/feed"
)

var errUnavailable = errors.New("no answer")

// source is a store with scripted responses. The last one is repeated.
type source struct {
	lists   []answer
	watches []answer
	calls   []string
}

type answer struct {
	page feed.Page
	err  error
	hang bool
}

func nextAnswer(from *[]answer) answer {
	next := (*from)[0]
	if len(*from) > 1 {
		*from = (*from)[1:]
	}
	return next
}

func (s *source) List(context.Context, string) (feed.Page, error) {
	s.calls = append(s.calls, "list")
	a := nextAnswer(&s.lists)
	return a.page, a.err
}

func (s *source) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) (feed.Page, error) {
	s.calls = append(s.calls, "watch")
	a := nextAnswer(&s.watches)
	if a.hang {
		<-ctx.Done()
		return feed.Page{}, ctx.Err()
	}
	if a.err == nil && len(a.page.Rows) == 0 {
		time.Sleep(wait)
	}
	return a.page, a.err
}

func row(key string, version uint64) feed.Row {
	return feed.Row{Key: key, Version: version, Value: []byte("v")}
}

func page(version uint64, rows ...feed.Row) feed.Page { return feed.Page{Version: version, Rows: rows} }

// run runs a feed for some time and returns the calls to its callbacks.
func run(t *testing.T, s *source, peers func(context.Context, string, uint64) (feed.Page, error), span time.Duration) (calls []string, f *feed.Feed) {
	t.Helper()
	f = feed.New(feed.Options{
		Table: "t", Source: s, FetchFromPeer: peers,
		Reset: func(p feed.Page) { calls = append(calls, "reset "+keys(p)) }, Change: func(p feed.Page) { calls = append(calls, "change "+keys(p)) },
		OnAvailable: func() { calls = append(calls, "regained") }, Scope: tally.NoopScope, Logger: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	assert.Error(t, f.Serve(ctx))
	return calls, f
}

func keys(p feed.Page) string {
	text := ""
	for _, r := range p.Rows {
		text += r.Key
	}
	return text
}

func TestFeed(t *testing.T) {
	lost := &feed.LostHistoryError{Table: "t", After: 3}
	tests := map[string]struct {
		source source
		peers  feed.Page
		want   []string
		after  uint64
	}{
		"rows, then changes": {
			source: source{lists: []answer{{page: page(3, row("a", 1))}}, watches: []answer{{page: page(4, row("b", 4))}, {page: page(4)}}},
			want:   []string{"reset a", "change b"}, after: 4,
		},
		"history lost": {
			source: source{lists: []answer{{page: page(3, row("a", 1))}, {page: page(9, row("b", 8))}}, watches: []answer{{err: lost}, {page: page(9)}}},
			want:   []string{"reset a", "reset b"}, after: 9,
		},
		"list older than the copy": {
			source: source{lists: []answer{{page: page(3, row("a", 1))}, {page: page(2, row("z", 1))}, {page: page(5, row("a", 1))}}, watches: []answer{{err: lost}, {page: page(5)}}},
			want:   []string{"reset a", "reset a"}, after: 5,
		},
		"store unavailable for a while": {
			source: source{lists: []answer{{page: page(3, row("a", 1))}}, watches: []answer{{err: errUnavailable}, {err: errUnavailable}, {page: page(4, row("b", 4))}, {page: page(4)}}},
			want:   []string{"reset a", "regained", "change b"}, after: 4,
		},
		"silent connection": {
			source: source{lists: []answer{{page: page(3)}}, watches: []answer{{hang: true}, {page: page(4, row("b", 4))}, {page: page(4)}}},
			want:   []string{"reset ", "regained", "change b"}, after: 4,
		},
		"rows from peers at startup": {
			source: source{lists: []answer{{err: errUnavailable}}, watches: []answer{{}}},
			peers:  page(7, row("a", 7)),
			want:   []string{"change a"}, after: 7,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := func(_ context.Context, _ string, after uint64) (feed.Page, error) {
					if test.peers.Version <= after {
						return feed.Page{Version: test.peers.Version}, nil
					}
					return test.peers, nil
				}
				callbacks, f := run(t, &test.source, peers, 20*time.Second)
				assert.Equal(t, test.want, callbacks)
				assert.Equal(t, test.after, f.Version())
			})
		})
	}
}

// A table without changes must cost only one call every few seconds.
func TestQuietTableCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{lists: []answer{{page: page(3)}}, watches: []answer{{page: page(3)}}}
		run(t, s, nil, time.Minute)
		assert.Less(t, len(s.calls), 20)
	})
}

func TestStoreThatIsAwayIsNotHammered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{lists: []answer{{err: errUnavailable}}, watches: []answer{{}}}
		run(t, s, nil, 10*time.Second)
		assert.Less(t, len(s.calls), 60)
		assert.Greater(t, len(s.calls), 10, "retries go on, so that the store is found again")
	})
}

func TestChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gone := feed.Row{Key: "a", Version: 6, Removed: true}
		s := &source{lists: []answer{{page: page(3, row("a", 1), row("b", 2))}}, watches: []answer{{page: page(6, gone)}, {page: page(6)}}}
		_, f := run(t, s, nil, 10*time.Second)
		assert.Equal(t, feed.Page{Version: 6, Rows: []feed.Row{row("b", 2)}, Whole: true}, f.Changes(0), "rows may have been removed before version 3")
		assert.Equal(t, feed.Page{Version: 6, Rows: []feed.Row{row("b", 2)}, Whole: true}, f.Changes(2))
		assert.Equal(t, feed.Page{Version: 6, Rows: []feed.Row{gone}, Since: 3}, f.Changes(3))
	})
}
