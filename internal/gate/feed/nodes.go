package feed

import (
	"context"
	"time"
)

// followUpstream copies newer rows from the upstream node and waits for its next
// update. It returns false if there is no upstream node with a current copy, so
// that the store must be called.
func (f *Feed) followUpstream(ctx context.Context) bool {
	if f.options.Upstream == nil {
		return false
	}
	version, age, ok := f.options.Upstream(f.options.Table)
	if !ok || age >= maxUpstreamAge {
		return false
	}
	var changes Page
	if version > f.Version() {
		if changes, ok = f.fetchFromPeer(ctx); !ok {
			return false
		}
	}
	f.storeAnswered()
	f.apply(changes)
	f.mu.Lock()
	current := f.version >= version
	if current {
		f.listed, f.currentAt = true, time.Now().Add(-age)
	}
	f.mu.Unlock()
	if !current {
		// Another node than the upstream answered, with an older copy.
		return false
	}
	f.pausedAt = time.Time{}
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-time.After(maxUpstreamAge - age):
	}
	return true
}

// Wake makes the feed check the upstream node's version at once.
func (f *Feed) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// askPeers applies the changes that another node returns. It doesn't count as a
// confirmation by the store.
func (f *Feed) askPeers(ctx context.Context) {
	if page, ok := f.fetchFromPeer(ctx); ok {
		f.apply(page)
	}
}

// fetchFromPeer returns the changes that another node has; false if none answered.
func (f *Feed) fetchFromPeer(ctx context.Context) (Page, bool) {
	if f.options.FetchFromPeer == nil {
		return Page{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	after := f.Version()
	page, err := f.options.FetchFromPeer(ctx, f.options.Table, after)
	if err != nil {
		f.options.Logger.Debug("failed to get rows from peers", "table", f.options.Table, "error", err)
		return Page{}, false
	}
	if len(page.Rows) > 0 {
		f.options.Logger.Info("rows taken from a peer", "table", f.options.Table, "sender", page.Sender, "had", after, "rows", len(page.Rows),
			"whole", page.Whole, "version", page.Version)
	}
	if !page.covers(f.Version()) {
		f.options.Scope.Counter("feed_incomplete_pages").Inc(1)
		f.options.Logger.Warn("rows of a peer ignored, since they lack changes", "table", f.options.Table, "sender", page.Sender, "had", after,
			"since", page.Since, "version", page.Version)
		return Page{}, false
	}
	newEpoch := restored(f.Version(), page.Version)
	page.Late, page.Unsure, page.Lapsed = f.missedChanges() || newEpoch, true, f.mayHaveLapsed() || newEpoch
	return page, true
}

// apply applies rows of another node.
func (f *Feed) apply(page Page) {
	if page.Whole {
		f.reset(page)
	} else {
		f.change(page)
	}
}
