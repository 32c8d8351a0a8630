// Package feed follows a table of the platform's store: it reads all rows once
// and then what changes, lists again when the store has dropped the history in
// between, and asks other nodes while the store does not answer.
package feed

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
)

// Row is one row of a table.
type Row struct {
	// Key names the row.
	Key string `json:"key"`
	// Value is its content.
	Value []byte `json:"value,omitempty"`
	// Version is the version of the store that wrote it.
	Version uint64 `json:"version"`
	// Removed is true when the row no longer exists.
	Removed bool `json:"removed,omitempty"`
}

// Page is a part of a table as of one version.
type Page struct {
	// Rows are the rows.
	Rows []Row `json:"rows"`
	// Version is the version of the store that the page shows.
	Version uint64 `json:"version"`
	// Clock is the store's steady clock when it answered; zero if not told.
	Clock time.Duration `json:"clockNanos,omitempty"`
	// Whole is true when the page shows the whole table: rows that are not on it
	// are gone.
	Whole bool `json:"whole,omitempty"`
}

// Source reads a table.
type Source interface {
	// List returns all rows of a table.
	List(ctx context.Context, table string) (Page, error)
	// Watch returns the rows that have changed after a version, as soon as there
	// are any, or none after the wait. A [*LostHistoryError] means that the
	// store no longer has all changes.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// LostHistoryError means that changes can't be told any more.
type LostHistoryError struct {
	// Table is the table's name.
	Table string
	// After is the version from which on changes were asked for.
	After uint64
}

// Error returns a text for logs.
func (e *LostHistoryError) Error() string {
	return "the store has dropped the history of " + e.Table
}

const (
	// watchWait is how long a call waits for changes, and with answerTime how long
	// a connection that went silent goes unnoticed: less than a node may take to
	// be in touch again and to put a configuration in force, five seconds.
	watchWait = 3500 * time.Millisecond
	// leadWait is watchWait for a node on which others rely.
	leadWait = time.Second
	// upstreamAge is how old the word of the node on which this one relies may be:
	// leadWait and some messages; the rest of the time in which a configuration
	// has to be in force is left for asking the store itself.
	upstreamAge = 1500 * time.Millisecond
	// removedAge is how long removed rows are remembered for nodes that ask what
	// has changed; others get the whole table.
	removedAge = 30 * time.Second
	// answerTime is how long a call may take beside its wait.
	answerTime = 700 * time.Millisecond
	// gatherTime is the pause after changes, so that those which come together
	// cost one call.
	gatherTime = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
)

// Options are what a [Feed] needs.
type Options struct {
	// Table is the table's name.
	Table string
	// Source is the store.
	Source Source
	// Peers asks another node for what it knows of the table after a version;
	// nil means that there is none.
	Peers func(ctx context.Context, table string, after uint64) (Page, error)
	// Reset takes the whole table.
	Reset func(Page)
	// Change takes rows that have changed.
	Change func(Page)
	// Upstream returns the version up to which another node knows the table, on
	// which this one relies, and how long ago the store confirmed it; false when
	// there is no such node. Nil means that there never is.
	Upstream func(table string) (version uint64, age time.Duration, ok bool)
	// Leads reports whether other nodes rely on this one; nil means that none do.
	Leads func() bool
	// Regained is told when the store answers again after an outage.
	Regained func()
	// Scope takes the metrics.
	Scope tally.Scope
	// Logger hears when the store is lost and regained.
	Logger hclog.Logger
}

// Feed is a suture service. See [New].
type Feed struct {
	options Options

	mu     sync.Mutex
	rows   map[string]Row
	listed bool
	after  uint64
	// checked is when the store confirmed the table last.
	checked time.Time
	// removed holds when rows were removed, forgotten the newest version of a
	// removed row that is no longer remembered.
	removed   map[string]time.Time
	forgotten uint64
	failed    time.Time
	lost      atomic.Bool
	poke      chan struct{}
}

// New returns a feed that has read nothing yet.
//
//	rows := feed.New(feed.Options{Table: "nodes", Source: store, Reset: reset, Change: change})
//	supervisor.Add(rows)
func New(options Options) *Feed {
	return &Feed{options: options, rows: map[string]Row{}, removed: map[string]time.Time{}, poke: make(chan struct{}, 1)}
}

// Known returns what this node knows to have changed after a version.
func (f *Feed) Known(after uint64) Page {
	f.mu.Lock()
	defer f.mu.Unlock()
	page := Page{Version: f.after, Whole: after < f.forgotten}
	for _, key := range slices.Sorted(maps.Keys(f.rows)) {
		if row := f.rows[key]; row.Version > after || page.Whole {
			page.Rows = append(page.Rows, row)
		}
	}
	return page
}

// Version returns the version of the store up to which this node knows the table.
func (f *Feed) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.after
}

// Checked returns how long ago the store confirmed the version; false if it never
// has.
func (f *Feed) Checked(now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.checked), !f.checked.IsZero()
}

// Lost reports whether the store does not answer this node.
func (f *Feed) Lost() bool { return f.lost.Load() }

// Serve runs until the context ends.
func (f *Feed) Serve(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		if f.relies(ctx) {
			continue
		}
		changed, err := f.step(ctx)
		if ctx.Err() != nil {
			break
		}
		pause := time.Duration(0)
		if err != nil {
			f.lose(err)
			f.askPeers(ctx)
			pause = backoff/2 + rand.N(backoff)
			backoff = min(2*backoff, maxBackoff)
		} else {
			f.regain()
			backoff = minBackoff
			if changed {
				pause = gatherTime
			}
		}
		if pause == 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return ctx.Err()
}

// relies reports whether another node follows the table for this one, and takes
// what that one knows.
func (f *Feed) relies(ctx context.Context) bool {
	if f.options.Upstream == nil {
		return false
	}
	version, age, ok := f.options.Upstream(f.options.Table)
	if !ok || age >= upstreamAge {
		return false
	}
	if version > f.Version() && !f.askPeers(ctx) {
		return false
	}
	f.mu.Lock()
	f.listed = true
	f.mu.Unlock()
	f.regain()
	select {
	case <-ctx.Done():
	case <-f.poke:
	case <-time.After(upstreamAge - age):
	}
	return true
}

// Poke tells that the node on which this one relies has said something new.
func (f *Feed) Poke() {
	select {
	case f.poke <- struct{}{}:
	default:
	}
}

// wait returns how long a call may wait for changes.
func (f *Feed) wait() time.Duration {
	if f.options.Leads != nil && f.options.Leads() {
		return leadWait
	}
	return watchWait
}

// step makes one call and reports whether it brought changes.
func (f *Feed) step(ctx context.Context) (bool, error) {
	f.mu.Lock()
	listed, after := f.listed, f.after
	f.mu.Unlock()
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, answerTime)
		defer cancel()
		page, err := f.options.Source.List(ctx, f.options.Table)
		if err != nil {
			return false, err
		}
		f.reset(page)
		f.confirmed()
		return true, nil
	}
	wait := f.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	page, err := f.options.Source.Watch(ctx, f.options.Table, after, wait)
	var lost *LostHistoryError
	if errors.As(err, &lost) {
		f.options.Logger.Warn("history lost, reading the whole table", "table", f.options.Table, "after", after)
		f.options.Scope.Counter("feed_history_lost").Inc(1)
		f.mu.Lock()
		f.listed = false
		f.mu.Unlock()
		return true, nil
	}
	if err != nil {
		return false, err
	}
	f.change(page)
	f.confirmed()
	return len(page.Rows) > 0, nil
}

func (f *Feed) confirmed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checked = time.Now()
}

// reset takes a whole table, unless it is older than what is known.
func (f *Feed) reset(page Page) {
	f.mu.Lock()
	if page.Version < f.after {
		f.mu.Unlock()
		f.options.Scope.Counter("feed_stale_lists").Inc(1)
		return
	}
	f.listed, f.after = true, page.Version
	listed := make(map[string]bool, len(page.Rows))
	for _, row := range page.Rows {
		listed[row.Key] = true
		f.rows[row.Key] = row
	}
	for key, row := range f.rows {
		if !listed[key] && !row.Removed {
			f.rows[key] = Row{Key: key, Version: page.Version, Removed: true}
		}
	}
	f.prune(time.Now())
	f.mu.Unlock()
	f.options.Reset(page)
}

func (f *Feed) change(page Page) {
	f.mu.Lock()
	f.after = max(f.after, page.Version)
	for _, row := range page.Rows {
		if row.Version >= f.rows[row.Key].Version {
			f.rows[row.Key] = row
		}
	}
	f.prune(time.Now())
	f.mu.Unlock()
	if len(page.Rows) > 0 {
		f.options.Change(page)
	}
}

// prune forgets rows that were removed long ago.
func (f *Feed) prune(now time.Time) {
	for key, row := range f.rows {
		at, known := f.removed[key]
		switch {
		case !row.Removed:
			delete(f.removed, key)
		case !known:
			f.removed[key] = now
		case now.Sub(at) > removedAge:
			f.forgotten = max(f.forgotten, row.Version)
			delete(f.rows, key)
			delete(f.removed, key)
		}
	}
}

// askPeers takes what another node knows, without counting it as the store's, and
// reports whether one answered.
func (f *Feed) askPeers(ctx context.Context) bool {
	if f.options.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	page, err := f.options.Peers(ctx, f.options.Table, f.Version())
	if err != nil {
		f.options.Logger.Debug("no peer knows more", "table", f.options.Table, "error", err)
		return false
	}
	if len(page.Rows) > 0 {
		f.options.Logger.Info("rows taken from a peer", "table", f.options.Table, "rows", len(page.Rows), "version", page.Version)
	}
	if page.Whole {
		f.reset(page)
	} else {
		f.change(page)
	}
	return true
}

func (f *Feed) lose(err error) {
	f.options.Scope.Counter("feed_failures").Inc(1)
	if f.failed.IsZero() {
		f.failed = time.Now()
		f.lost.Store(true)
		f.options.Logger.Warn("store lost", "table", f.options.Table, "version", f.Version(), "error", err)
	}
}

func (f *Feed) regain() {
	if f.failed.IsZero() {
		return
	}
	f.options.Logger.Info("store regained", "table", f.options.Table, "version", f.Version(), "awayMs", time.Since(f.failed).Milliseconds())
	f.failed = time.Time{}
	f.lost.Store(false)
	if f.options.Regained != nil {
		f.options.Regained()
	}
}
