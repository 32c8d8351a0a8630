package host

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/gate/feed"
	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/peers"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/infra/mark"
	"github.com/cicadamill/cicadamill/internal/infra/table"
	"github.com/cicadamill/cicadamill/internal/watch/spool"
)

// leaseSlack is how much older than it is a naming may be taken to be: two renewals
// of the lease.
const leaseSlack = time.Second

// clockStore is an in-memory store with tables, a version counter and a clock that
// goes on while the hosts are suspended.
type clockStore struct {
	mu        sync.Mutex
	began     time.Time
	suspended time.Duration
	version   uint64
	tables    map[string]map[string]feed.Row
	changed   chan struct{}
}

func newClockStore() *clockStore {
	return &clockStore{
		began: time.Now(), changed: make(chan struct{}),
		tables: map[string]map[string]feed.Row{"op": {}, "own": {}, "servers": {}},
	}
}

// now is the time by a clock that counts suspensions.
func (s *clockStore) now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Add(s.suspended)
}

// suspend lets time pass that the hosts' monotonic clocks don't count.
func (s *clockStore) suspend(span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspended += span
}

// put writes a row; notify wakes the watches.
func (s *clockStore) put(table, key string, value []byte, notify bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.tables[table][key] = feed.Row{Key: key, Value: value, Version: s.version}
	if notify {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *clockStore) page(table string, after uint64) feed.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := feed.Page{Version: s.version, Clock: time.Since(s.began) + s.suspended}
	for _, key := range slices.Sorted(maps.Keys(s.tables[table])) {
		if row := s.tables[table][key]; row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page
}

func (s *clockStore) List(_ context.Context, table string) (feed.Page, error) {
	return s.page(table, 0), nil
}

func (s *clockStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (feed.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if page := s.page(table, after); len(page.Rows) > 0 {
			return page, nil
		}
		select {
		case <-ctx.Done():
			return feed.Page{}, ctx.Err()
		case <-timer.C:
			return s.page(table, after), nil
		case <-changed:
		}
	}
}

// clockRows gives access to the own table of a clockStore.
type clockRows struct {
	*clockStore
	// failing makes writes of announcement times fail.
	failing *atomic.Bool
}

func (r clockRows) List(context.Context, string, string, int) ([]table.Row, error) { return nil, nil }

func (r clockRows) Commit(_ context.Context, txn table.Txn) error {
	for _, put := range txn.Puts {
		if r.failing.Load() && put.Key == announcedPrefix+"m" {
			return &table.OutageError{Message: "announcement times can't be written"}
		}
		r.put("own", put.Key, put.Value, true)
	}
	return nil
}

// startHost runs the parts of a host that learn of announced weights. The returned
// function ends them as a crash does: nothing is released.
func startHost(t *testing.T, s *clockStore, failing *atomic.Bool) (*Host, func()) {
	t.Helper()
	return startHostOn(t, s, s, failing)
}

// startHostOn is like startHost with another source of the tables.
func startHostOn(t *testing.T, s *clockStore, source feed.Source, failing *atomic.Bool) (*Host, func()) {
	t.Helper()
	h := New(Settings{Name: "a", DataCentre: "east", Bounds: Bounds{NewWeights: 12 * time.Second, Lease: 3 * time.Second}},
		Platform{
			Source: source, Table: rowsOf(s, failing), Engines: noEngines{}, Now: s.now,
			OwnTable: "own", OperatorTable: "op", TargetTable: "servers",
			DecodeOperator: func(row feed.Row) (OperatorChange, error) {
				version, err := strconv.ParseUint(string(row.Value), 10, 64)
				return WeightsChange{Model: "m", Version: version}, err
			},
		}, hclog.NewNullLogger(), spool.New(nil))
	ctx, cancel := context.WithCancel(t.Context())
	parts := []func(context.Context) error{h.feeds["op"].Serve, h.register, h.runAnnouncements, h.maintain, h.orders.Serve}
	ended := make(chan error, len(parts))
	for _, part := range parts {
		go func(ctx context.Context) { ended <- part(ctx) }(ctx)
	}
	return h, func() {
		cancel()
		for range parts {
			<-ended
		}
		_ = h.meter.Close()
	}
}

func ageOf(t *testing.T, h *Host, version uint64) time.Duration {
	t.Helper()
	all := h.announcements("m")
	i, found := slices.BinarySearchFunc(all, version, func(a pick.AnnouncedVersion, v uint64) int { return cmp.Compare(a.Version, v) })
	require.True(t, found, "version %d isn't known", version)
	return all[i].Age
}

// TestNamingIsNeverYounger guards against replaced weights that answered after the
// operators' bound: hosts that all restarted, or were all suspended, before the time
// of a naming was stored took it to be new.
func TestNamingIsNeverYounger(t *testing.T) {
	tests := map[string]struct {
		// away is how long the hosts are away right after the naming.
		away time.Duration
		// suspended is true if the hosts are suspended meanwhile, else they restart.
		suspended bool
	}{
		"restart at once":          {away: 500 * time.Millisecond},
		"without power for 3 s":    {away: 3 * time.Second},
		"suspended for 3 s":        {away: 3 * time.Second, suspended: true},
		"suspended for 9 s":        {away: 9 * time.Second, suspended: true},
		"power off for 8 s":        {away: 8 * time.Second},
		"suspended for a moment":   {away: 700 * time.Millisecond, suspended: true},
		"restarted within a tenth": {away: 100 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newClockStore()
				var failing atomic.Bool
				s.put("op", "version/m", []byte("1"), true)
				h, stop := startHost(t, s, &failing)
				time.Sleep(8 * time.Second)
				failing.Store(true)
				named := s.now()
				if test.suspended {
					s.put("op", "version/m", []byte("2"), false)
					s.suspend(test.away)
					s.put("op", "other", []byte("x"), true)
				} else {
					stop()
					s.put("op", "version/m", []byte("2"), true)
					time.Sleep(test.away)
					h, stop = startHost(t, s, &failing)
				}
				failing.Store(false)
				time.Sleep(4 * time.Second)
				age := s.now().Sub(named)
				assert.GreaterOrEqual(t, ageOf(t, h, 2), age)
				assert.LessOrEqual(t, ageOf(t, h, 2), age+leaseSlack)
				stop()
				reader, stop := startHost(t, s, &failing)
				time.Sleep(time.Second)
				age = s.now().Sub(named)
				assert.GreaterOrEqual(t, ageOf(t, reader, 2), age, "the stored time must not be later either")
				assert.LessOrEqual(t, ageOf(t, reader, 2), age+leaseSlack)
				stop()
			})
		})
	}
}

// rowsOf returns the own rows of a store.
func rowsOf(s *clockStore, failing *atomic.Bool) clockRows {
	return clockRows{clockStore: s, failing: failing}
}

// Get implements [table.Client].
func (r clockRows) Get(_ context.Context, key string) (table.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.tables["own"][key]
	return table.Row{
		Key: key, Value: row.Value, Version: row.Version,
		ReadAt: mark.Mark{Version: r.version, ClockMillis: (time.Since(r.began) + r.suspended).Milliseconds()},
	}, nil
}

// TestSuspensionAgesNamings guards against replaced weights that answered after the
// operators' bound: a host that had been suspended didn't count that time.
func TestSuspensionAgesNamings(t *testing.T) {
	tests := map[string]struct{ before, suspended, after time.Duration }{
		"between two namings": {before: 2 * time.Second, suspended: 7 * time.Second, after: time.Second},
		"briefly":             {before: 5 * time.Second, suspended: 300 * time.Millisecond, after: 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newClockStore()
				var failing atomic.Bool
				failing.Store(true)
				s.put("op", "version/m", []byte("1"), true)
				h, stop := startHost(t, s, &failing)
				defer stop()
				time.Sleep(2 * time.Second)
				s.put("op", "version/m", []byte("2"), true)
				named := s.now()
				time.Sleep(test.before)
				s.suspend(test.suspended)
				time.Sleep(1500 * time.Millisecond)
				s.put("op", "version/m", []byte("3"), true)
				next := s.now()
				time.Sleep(test.after)
				assert.InDelta(t, s.now().Sub(named).Seconds(), ageOf(t, h, 2).Seconds(), 0.05)
				assert.InDelta(t, s.now().Sub(next).Seconds(), ageOf(t, h, 3).Seconds(), 0.05, "a later naming isn't aged by it")
			})
		})
	}
}

// TestHostsShareEveryNaming guards against replaced weights that answered after the
// operators' bound: a host that was away while two versions were named learned of the
// second one only, and let the oldest weights answer until that one's bound.
func TestHostsShareEveryNaming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, to := newHost(&fakeStore{}), newHost(&fakeStore{})
		defer func() { _, _ = from.meter.Close(), to.meter.Close() }()
		from.announceWeights("m", pick.AnnouncedVersion{Version: 2})
		time.Sleep(5 * time.Second)
		from.announceWeights("m", pick.AnnouncedVersion{Version: 3})
		time.Sleep(2 * time.Second)
		to.receive(oplog.Origin{Node: "b"}, from.compose(oplog.Recipient{Node: "a"}, peers.Cursor{}), true)
		assert.Equal(t, []pick.AnnouncedVersion{{Version: 2, Age: 7 * time.Second}, {Version: 3, Age: 2 * time.Second}}, to.announcements("m"))
		time.Sleep(time.Hour)
		assert.Empty(t, from.compose(oplog.Recipient{Node: "a"}, peers.Cursor{}).Superseded, "a version whose bound has passed everywhere isn't sent")
	})
}

// delayedStore delivers changes some time after they were made.
type delayedStore struct {
	*clockStore
	delay atomic.Int64
}

func (s *delayedStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (feed.Page, error) {
	page, err := s.clockStore.Watch(ctx, table, after, wait)
	if len(page.Rows) > 0 {
		time.Sleep(time.Duration(s.delay.Load()))
	}
	return page, err
}

// TestNamingInADelayedAnswerIsNotNew guards against replaced weights that answer after
// the operators' bound: a naming that the store delivers seconds late, without a failed
// call, counts as new.
func TestNamingInADelayedAnswerIsNotNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &delayedStore{clockStore: newClockStore()}
		s.put("op", "version/m", []byte("1"), true)
		var failing atomic.Bool
		h, stop := startHostOn(t, s.clockStore, s, &failing)
		defer stop()
		time.Sleep(8 * time.Second)
		s.delay.Store(int64(3 * time.Second))
		s.put("op", "version/m", []byte("2"), true)
		named := s.now()
		time.Sleep(5 * time.Second)
		assert.GreaterOrEqual(t, ageOf(t, h, 2), s.now().Sub(named)-200*time.Millisecond)
	})
}
