package host

import (
	"context"
	"errors"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/gate/feed"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
)

// decodeRemovals makes a host decode removed entries.
func decodeRemovals(h *Host) {
	decode := h.platform.DecodeTarget
	h.platform.DecodeTarget = func(now time.Time, row feed.Row) roster.Change {
		if row.Removed {
			return roster.Change{ID: row.Key, Version: row.Version}
		}
		return decode(now, row)
	}
}

func (h *Host) targetNames() []string { return slices.Sorted(maps.Keys(h.listedTargets())) }

// TestTargetsMissingInLatePagesStay guards against live targets that were dropped because
// another host told of their entries' end while this host's own calls to the store failed,
// and against requests to targets that had left, for the grace of those.
func TestTargetsMissingInLatePagesStay(t *testing.T) {
	tests := map[string]struct {
		page feed.Page
		// reset is true for a whole table.
		reset bool
		// soon are the targets one second later.
		soon []string
	}{
		"change while the table is followed":   {feed.Page{Rows: []feed.Row{{Key: "e", Version: 4, Removed: true}}}, false, []string{"f"}},
		"change after a gap without an outage": {feed.Page{Late: true, Rows: []feed.Row{{Key: "e", Version: 4, Removed: true}}}, false, []string{"f"}},
		"whole table without an outage":        {feed.Page{Late: true, Version: 4, Rows: []feed.Row{{Key: "f", Version: 1}}}, true, []string{"f"}},
		"change after an outage":               {feed.Page{Lapsed: true, Rows: []feed.Row{{Key: "e", Version: 4, Removed: true}}}, false, []string{"e", "f"}},
		"whole table after an outage":          {feed.Page{Lapsed: true, Version: 4, Rows: []feed.Row{{Key: "f", Version: 1}}}, true, []string{"e", "f"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHost(&fakeStore{began: time.Now(), rows: map[string][]byte{}})
				decodeRemovals(h)
				defer startMaintenance(t, h)()
				h.targetReset(feed.Page{Late: true, Version: 1, Rows: []feed.Row{{Key: "e", Version: 1}, {Key: "f", Version: 1}}})
				time.Sleep(time.Minute)
				apply := h.targetChange
				if test.reset {
					apply = h.targetReset
				}
				apply(test.page)
				time.Sleep(time.Second)
				assert.Equal(t, test.soon, h.targetNames())
				time.Sleep(1100 * time.Millisecond)
				assert.Equal(t, []string{"f"}, h.targetNames(), "an entry still missing after two seconds is gone")
			})
		})
	}
}

// briefOutage is a store of two targets that is away for half a second, in which the
// entry of one expires.
type briefOutage struct{ began time.Time }

func (s briefOutage) List(context.Context, string) (feed.Page, error) {
	return feed.Page{Version: 1, Rows: []feed.Row{{Key: "e", Version: 1}, {Key: "f", Version: 1}}}, nil
}

func (s briefOutage) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (feed.Page, error) {
	now := time.Since(s.began)
	away := 10*time.Second - now
	switch {
	case now >= 10*time.Second && now < 10500*time.Millisecond:
		return feed.Page{}, errors.New("away")
	case now >= 10500*time.Millisecond && after < 4:
		return feed.Page{Version: 4, Rows: []feed.Row{{Key: "e", Version: 4, Removed: true}}}, nil
	case away > 0 && away < wait:
		time.Sleep(away)
		return feed.Page{}, errors.New("reset")
	}
	select {
	case <-ctx.Done():
		return feed.Page{}, ctx.Err()
	case <-time.After(wait):
		return feed.Page{Version: after}, nil
	}
}

// TestBriefOutageKeepsTargets guards against live targets that were dropped because an
// outage in which their entries expired was too short to count as one.
func TestBriefOutageKeepsTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(&fakeStore{began: time.Now(), rows: map[string][]byte{}})
		decodeRemovals(h)
		h.platform.Source = briefOutage{time.Now()}
		h.addFeed("servers", h.targetReset, h.targetChange, h.storeReturned)
		defer startMaintenance(t, h)()
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		ended := make(chan error, 1)
		go func(ctx context.Context) { ended <- h.feeds["servers"].Serve(ctx) }(ctx)
		for time.Sleep(9 * time.Second); h.feeds["servers"].Version() < 4; time.Sleep(10 * time.Millisecond) {
			assert.False(t, h.feeds["servers"].Unavailable())
		}
		time.Sleep(1900 * time.Millisecond)
		assert.Equal(t, []string{"e", "f"}, h.targetNames())
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, []string{"f"}, h.targetNames())
		<-ended
	})
}
