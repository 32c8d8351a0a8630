package host

import (
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/feed"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
)

func (h *Host) targetReset(page feed.Page) {
	now := time.Now()
	changes := make([]roster.Change, 0, len(page.Rows))
	for _, row := range page.Rows {
		changes = append(changes, h.decodeTarget(now, row))
	}
	h.keepMissing(now, page)
	h.mu.Lock()
	h.roster.Reset(now, page.Version, changes)
	h.mu.Unlock()
	h.targetsListed.Store(true)
	h.publishTargets()
}

func (h *Host) targetChange(page feed.Page) {
	now := time.Now()
	h.keepMissing(now, page)
	for _, row := range page.Rows {
		c := h.decodeTarget(now, row)
		h.mu.Lock()
		h.roster.Apply(now, c)
		h.mu.Unlock()
	}
	h.targetsListed.Store(true)
	h.publishTargets()
}

// keepMissing keeps targets for a while whose entries a page removes, if these may have
// lapsed while the store was unavailable. Dropping a live target would cost its capacity
// and blame its requests for a crash.
func (h *Host) keepMissing(now time.Time, page feed.Page) {
	if !page.Lapsed || !h.targetsListed.Load() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.roster.StoreRecovered(now)
}

func (h *Host) decodeTarget(now time.Time, row feed.Row) roster.Change {
	c := h.platform.DecodeTarget(now, row)
	switch {
	case c.Invalid != "":
		h.meter.Scope().Counter("rows_unreadable").Inc(1)
		h.logger.Warn("failed to decode target entry", "target", c.ID, "version", row.Version, "reason", c.Invalid)
	case c.Target == nil:
		h.logger.Info("target removed", "target", c.ID, "version", row.Version)
	default:
		h.logger.Info("target listed", "target", c.ID, "version", row.Version, "service", c.Target.Service,
			"leaving", c.Target.Leaving, "weights", c.Target.Versions, "born", c.Target.Born)
	}
	return c
}

// publishTargets passes the list of targets to all components that use it.
func (h *Host) publishTargets() {
	h.mu.Lock()
	targets := h.roster.Targets()
	if missing := h.roster.Missing(); !slices.Equal(missing, h.missingTargets) {
		h.logger.Info("targets kept although their entries are missing", "targets", missing)
		h.missingTargets = missing
	}
	for id, old := range h.listedTargets() {
		if t, ok := targets[id]; !old.Leaving && (!ok || t.Born != old.Born) {
			h.deadly.TargetCrashed(time.Now(), id)
		}
	}
	h.picker.SetTargets(targets)
	for id, t := range h.picker.Versions() {
		entry := targets[id]
		entry.Versions = map[string]uint64{t.Model: t.Version}
		targets[id] = entry
	}
	h.mu.Unlock()
	h.targets.Store(&targets)
	h.pool.Keep(targets)
	h.proxy.CancelUnsent()
	h.proxy.TargetsChanged()
	h.refreshReady()
}

func (h *Host) listedTargets() map[string]roster.Target { return *h.targets.Load() }

func (h *Host) storeReturned() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.roster.StoreRecovered(time.Now())
}
