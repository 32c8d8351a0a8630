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

// contact is the time after a disruption from which on the operators' bounds hold
// for a host again.
const contact = 3 * time.Second

// quietStore is a store whose table never changes and whose watches fail for a while.
type quietStore struct {
	began time.Time
	// failFrom and failUntil are when watches that begin then fail.
	failFrom, failUntil time.Duration
	// silent is true when failed watches get no answer.
	silent bool
}

func (s *quietStore) List(context.Context, string) (feed.Page, error) { return page(3), nil }

func (s *quietStore) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) (feed.Page, error) {
	now := time.Since(s.began)
	failing := now >= s.failFrom && now < s.failUntil
	switch {
	case failing && s.silent:
		<-ctx.Done()
		return feed.Page{}, ctx.Err()
	case failing:
		return feed.Page{}, errUnavailable
	}
	select {
	case <-ctx.Done():
		return feed.Page{}, ctx.Err()
	case <-time.After(wait):
		return page(3), nil
	}
}

// TestOneFailedWatchIsNoOutage guards against replaced weights that answered after
// the operators' bound: a host that had been suspended during a watch counted the
// store as unavailable until the next watch of an unchanged table returned.
func TestOneFailedWatchIsNoOutage(t *testing.T) {
	tests := map[string]struct {
		store quietStore
		// outage is true if the store must count as unavailable at the end of the
		// failures.
		outage bool
	}{
		"suspended during a watch, or a silent connection": {store: quietStore{failFrom: time.Second, failUntil: 6 * time.Second, silent: true}},
		"connection reset":              {store: quietStore{failFrom: 3600 * time.Millisecond, failUntil: 3900 * time.Millisecond}},
		"store is down":                 {store: quietStore{failFrom: time.Second, failUntil: 10 * time.Second}, outage: true},
		"store is down without a reset": {store: quietStore{failFrom: time.Second, failUntil: 15 * time.Second, silent: true}, outage: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				assertAvailability(t, test.store, test.outage)
			})
		})
	}
}

// assertAvailability runs a feed from a store, and checks that the store counts as
// unavailable only if its failures are an outage, and from contact after them on no
// more.
func assertAvailability(t *testing.T, store quietStore, outage bool) {
	t.Helper()
	store.began = time.Now()
	f := feed.New(feed.Options{
		Table: "t", Source: &store, Reset: func(feed.Page) {}, Change: func(feed.Page) {},
		Scope: tally.NoopScope, Logger: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- f.Serve(ctx) }(ctx)
	end := store.began.Add(store.failUntil)
	time.Sleep(time.Until(end))
	assert.Equal(t, outage, f.Unavailable())
	for time.Since(end) < 20*time.Second && !t.Failed() {
		time.Sleep(10 * time.Millisecond)
		if since := time.Since(end); since >= contact || !outage {
			assert.False(t, f.Unavailable(), "%s after the last failure began", since)
		}
	}
	cancel()
	<-ended
}

// TestReturnIsKnownBeforeItsChanges guards against targets that were dropped although
// they lived: their entries had expired during an outage of the store, and the removals
// were applied before its owner knew that there had been an outage.
func TestReturnIsKnownBeforeItsChanges(t *testing.T) {
	gone := feed.Row{Key: "b", Version: 4, Removed: true}
	tests := map[string]struct {
		source source
		want   []string
	}{
		"watched": {
			source: source{lists: []answer{{page: page(3, row("a", 1))}}, watches: []answer{{err: errUnavailable}, {page: page(4, gone)}, {page: page(4)}}},
			want:   []string{"reset a", "regained", "change b"},
		},
		"listed again": {
			source: source{lists: []answer{{page: page(3, row("a", 1))}, {page: page(9, row("c", 8))}}, watches: []answer{{err: errUnavailable}, {err: &feed.LostHistoryError{Table: "t"}}, {page: page(9)}}},
			want:   []string{"reset a", "regained", "reset c"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls, _ := run(t, &test.source, nil, 10*time.Second)
				assert.Equal(t, test.want, calls)
			})
		})
	}
}

// TestReturnIsKnownBeforeChangesOfPeers guards against targets that were dropped although
// they lived: the removals of expired entries came from another node, before the owner
// knew that the store had been away.
func TestReturnIsKnownBeforeChangesOfPeers(t *testing.T) {
	gone := page(4, feed.Row{Key: "b", Version: 4, Removed: true})
	whole := page(4, row("a", 1))
	whole.Whole = true
	tests := map[string]struct {
		changes feed.Page
		// upstream is true if the other node is the upstream, whose copy is current.
		upstream bool
		want     []string
	}{
		"changes of the upstream":       {gone, true, []string{"reset ab", "regained", "late change b"}},
		"the whole table of it":         {whole, true, []string{"reset ab", "regained", "late reset a"}},
		"changes while the store fails": {gone, false, []string{"reset ab", "late change b"}},
		"whole while the store fails":   {whole, false, []string{"reset ab", "late reset a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				assert.Equal(t, test.want, callsWithPeer(t, test.changes, test.upstream))
			})
		})
	}
}

// callsWithPeer returns the calls to the callbacks of a feed that has listed its table
// and whose further calls fail, while after 300 ms another node has changes.
func callsWithPeer(t *testing.T, changes feed.Page, isUpstream bool) (calls []string) {
	t.Helper()
	began := time.Now()
	s := &source{lists: []answer{{page: page(3, row("a", 1), row("b", 2))}}, watches: []answer{{err: errUnavailable}}}
	add := func(kind string, p feed.Page) {
		if len(calls) > 0 && p.Late {
			kind = "late " + kind
		}
		calls = append(calls, kind+" "+keys(p))
	}
	f := feed.New(feed.Options{
		Table: "t", Source: s,
		FetchFromPeer: func(_ context.Context, _ string, after uint64) (feed.Page, error) {
			switch {
			case time.Since(began) < 300*time.Millisecond:
				return feed.Page{}, errUnavailable
			case after >= changes.Version:
				return page(changes.Version), nil
			}
			return changes, nil
		},
		Upstream: func(string) (uint64, time.Duration, bool) {
			return changes.Version, 0, isUpstream && time.Since(began) > 300*time.Millisecond
		},
		Reset: func(p feed.Page) { add("reset", p) }, Change: func(p feed.Page) { add("change", p) },
		OnAvailable: func() { calls = append(calls, "regained") }, Scope: tally.NoopScope, Logger: hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	assert.Error(t, f.Serve(ctx))
	return calls
}

// TestUnseenRowsAreUnsure guards against replaced weights that answered too late: rows
// that this node did not see being written would count as new.
func TestUnseenRowsAreUnsure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		s := &source{lists: []answer{{page: page(3, row("a", 1))}}, watches: []answer{{page: page(4, row("b", 4))}, {page: page(4)}}}
		got := map[string]bool{}
		record := func(p feed.Page) { got[keys(p)] = p.Late || p.Unsure }
		f := feed.New(feed.Options{
			Table: "t", Source: s, Reset: record, Change: record, Scope: tally.NoopScope, Logger: hclog.NewNullLogger(),
			Upstream: func(string) (uint64, time.Duration, bool) { return 5, 0, time.Since(began) > 600*time.Millisecond },
			FetchFromPeer: func(context.Context, string, uint64) (feed.Page, error) {
				return page(5, row("c", 5)), nil
			},
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_ = f.Serve(ctx)
		assert.Equal(t, map[string]bool{"a": true, "b": false, "c": true}, got)
	})
}

// lapseTest is an absence of the store.
type lapseTest struct {
	// away is how long the store fails from one second after the start.
	away time.Duration
	// fromUpstream is true if the removal comes in the whole table of the upstream.
	fromUpstream bool
	want         bool
}

// TestRowsLapseInOutagesOnly guards against requests to targets that had left: after one
// failed call, and in every whole table of another node, their removal passed for one in
// an outage, in which the entries of live targets lapse.
func TestRowsLapseInOutagesOnly(t *testing.T) {
	tests := map[string]lapseTest{
		"followed":                {},
		"one failed call":         {away: 50 * time.Millisecond},
		"a short outage":          {away: 800 * time.Millisecond},
		"an outage":               {away: 2500 * time.Millisecond, want: true},
		"a long outage":           {away: 10 * time.Second, want: true},
		"whole table of upstream": {fromUpstream: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { assertLapsed(t, test) })
		})
	}
}

// assertLapsed runs a feed that learns of a removal, and checks whether it may have been
// one in an outage.
func assertLapsed(t *testing.T, test lapseTest) {
	t.Helper()
	began := time.Now()
	gone := page(4, feed.Row{Key: "b", Version: 4, Removed: true})
	regained, got := false, []bool{}
	record := func(p feed.Page) {
		if time.Since(began) > time.Second {
			got = append(got, p.Lapsed)
		}
	}
	options := feed.Options{
		Table: "t", Source: &awaySource{began: began, away: test.away, change: gone, hides: test.fromUpstream}, RowLife: 2 * time.Second,
		Reset: record, Change: record, Scope: tally.NoopScope, Logger: hclog.NewNullLogger(), OnAvailable: func() { regained = true },
	}
	if test.fromUpstream {
		options.Upstream = func(string) (uint64, time.Duration, bool) { return 4, 0, time.Since(began) > time.Second }
		options.FetchFromPeer = func(context.Context, string, uint64) (feed.Page, error) {
			return feed.Page{Version: 4, Whole: true, Sender: "parent", Rows: []feed.Row{row("a", 1)}}, nil
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	assert.Error(t, feed.New(options).Serve(ctx))
	assert.Equal(t, []bool{test.want}, got)
	assert.Equal(t, test.want, regained)
}

// awaySource is a store whose watches return each half a second, that fails for a while
// and has a change afterwards.
type awaySource struct {
	began  time.Time
	away   time.Duration
	change feed.Page
	// hides is true if the change never comes.
	hides bool
}

func (s *awaySource) List(context.Context, string) (feed.Page, error) {
	return page(3, row("a", 1), row("b", 2)), nil
}

func (s *awaySource) Watch(_ context.Context, _ string, after uint64, wait time.Duration) (feed.Page, error) {
	now := time.Since(s.began)
	switch {
	case now >= time.Second && now < time.Second+s.away:
		return feed.Page{}, errUnavailable
	case now >= time.Second+s.away && after < s.change.Version && !s.hides:
		return s.change, nil
	}
	time.Sleep(min(wait, 500*time.Millisecond))
	return page(after), nil
}
