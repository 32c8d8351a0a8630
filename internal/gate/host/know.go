package host

import (
	"context"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/gate/caches"
	"github.com/cicadamill/cicadamill/internal/gate/feed"
	"github.com/cicadamill/cicadamill/internal/gate/peers"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/gate/trail"
	"github.com/cicadamill/cicadamill/internal/node/orders"
	"github.com/cicadamill/cicadamill/internal/safety/blame"
	"github.com/cicadamill/cicadamill/internal/safety/order"
)

const (
	// keepInterval is how often beliefs that end with time are looked at.
	keepInterval = 50 * time.Millisecond
	// sweepSteps is how many of these pass between two looks at all targets.
	sweepSteps = 10
)

const (
	// lookInterval is how often the holder of the lease looks at the engines; an
	// engine's report is about 100 ms old.
	lookInterval = 100 * time.Millisecond
	// termShare is the term of the lease for orders in percent of the least time
	// between two holders' orders: a shorter term is renewed more often, a longer
	// one leaves engines without orders for longer.
	termShare = 66
	// candidates is how many hosts compete for the lease: two may be lost at once.
	candidates = 3
	// maxOrderTime bounds one order on its way.
	maxOrderTime = 700 * time.Millisecond
	// emptyTime is how long an engine may finish its work before new weights are
	// loaded: about one run.
	emptyTime = 600 * time.Millisecond
	// loadTimeout is when a load counts as lost: several times what one takes.
	loadTimeout = 12 * time.Second
	// settleTime is how long a report may lag behind an order.
	settleTime = 250 * time.Millisecond
	// reportAge is how old an engine's report may be to count.
	reportAge = time.Second
	// loadsAtOnce is the least number of engines that may load at once, and
	// loadShare that number as a part of all engines.
	loadsAtOnce = 2
	loadShare   = 5
)

func seedOf(name string) uint64 { return xxh3.HashString(name) }

func (h *Host) giverOptions() orders.Options {
	bounds := h.settings.Bounds
	return orders.Options{
		Host: h.settings.Name, Config: h.desk.Config, Dial: h.desk.Dial, Table: h.platform.Table, Term: bounds.Lease * termShare / 100, MaxOrder: maxOrderTime,
		Turn: bounds.Lease, Stand: h.stands, Interval: lookInterval, Quiet: lookInterval,
		Bounds: order.Options{
			MaxLoads: loadsAtOnce, LoadShare: loadShare, LoadTimeout: loadTimeout, Settle: settleTime, MaxAge: reportAge,
			Patience: emptyTime, KeepTrying: true,
		},
		Scope: h.meter.Scope(), Logger: h.logger,
	}
}

// stands reports whether this host competes for the lease for orders: a few do,
// so that not all of many hosts read its row.
func (h *Host) stands() bool {
	if h.stopping() {
		return false
	}
	return slices.Contains(h.peers.Strongest(time.Now(), candidates), h.settings.Name)
}

// operatorRows takes rows that operators have written.
func (h *Host) operatorRows(page feed.Page) {
	for _, row := range page.Rows {
		if row.Removed {
			continue
		}
		news, err := h.platform.Operator(row)
		if err != nil {
			h.meter.Scope().Counter("rows_unreadable").Inc(1)
			h.logger.Warn("row can't be read", "key", row.Key, "version", row.Version, "error", err)
			continue
		}
		switch n := news.(type) {
		case NewPlan:
			h.apply(n)
		case NewWeights:
			h.noteWeights(n.Model, pick.Named{Version: n.Version})
		}
	}
}

// apply puts a configuration in force. Versions only rise.
func (h *Host) apply(n NewPlan) {
	if old := h.plan.Load(); old != nil && old.Version >= n.Plan.Version {
		return
	}
	h.plan.Store(n.Plan)
	h.mu.Lock()
	h.picks.SetPlan(n.Plan)
	h.mu.Unlock()
	l := n.Plan.Limits
	if h.doors != nil {
		h.doors.SetLimits(local.Limits{
			BodyBytes: l.BodyBytes, HeaderBytes: l.HeaderBytes, HeaderMillis: int(l.HeaderTimeout.Milliseconds()),
			IdleMillis: int(l.IdleTimeout.Milliseconds()),
		})
	}
	h.logger.Info("configuration in force", "config", n.Plan.Version, "services", len(n.Plan.Services))
	h.refreshReady()
}

// noteWeights takes the newest version of a model's weights.
func (h *Host) noteWeights(model string, named pick.Named) {
	h.mu.Lock()
	news := h.picks.Want(time.Now(), model, named)
	h.mu.Unlock()
	if news {
		h.logger.Info("weights named", "model", model, "weights", named.Version, "ageMs", named.Age.Milliseconds())
	}
}

func (h *Host) wanted() map[string]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	versions := map[string]uint64{}
	for model, named := range h.picks.Wanted(time.Now()) {
		versions[model] = named.Version
	}
	return versions
}

func (h *Host) running(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.picks.Running(time.Now(), id)
}

// seen takes a version that a target has shown.
func (h *Host) seen(id, model string, version uint64) {
	t, ok := h.listedTargets()[id]
	if !ok {
		return
	}
	h.mu.Lock()
	news := h.picks.Observe(time.Now(), id, pick.Seen{Born: t.Born, Model: model, Version: version})
	h.mu.Unlock()
	if news {
		h.logger.Info("target serves other weights", "target", id, "model", model, "weights", version)
	}
}

func (h *Host) targetReset(page feed.Page) {
	now := time.Now()
	changes := make([]roster.Change, 0, len(page.Rows))
	for _, row := range page.Rows {
		changes = append(changes, h.change(now, row))
	}
	h.mu.Lock()
	h.roster.Reset(now, page.Version, changes)
	h.mu.Unlock()
	h.listed.Store(true)
	h.spread()
}

func (h *Host) targetChange(page feed.Page) {
	now := time.Now()
	for _, row := range page.Rows {
		c := h.change(now, row)
		h.mu.Lock()
		h.roster.Apply(now, c)
		h.mu.Unlock()
	}
	h.listed.Store(true)
	h.spread()
}

func (h *Host) change(now time.Time, row feed.Row) roster.Change {
	c := h.platform.Target(now, row)
	switch {
	case c.Unreadable != "":
		h.meter.Scope().Counter("rows_unreadable").Inc(1)
		h.logger.Warn("target's entry can't be read", "target", c.ID, "version", row.Version, "reason", c.Unreadable)
	case c.Target == nil:
		h.logger.Info("target removed", "target", c.ID, "version", row.Version)
	default:
		h.logger.Info("target listed", "target", c.ID, "version", row.Version, "service", c.Target.Service,
			"leaving", c.Target.Leaving, "weights", c.Target.Versions, "born", c.Target.Born)
	}
	return c
}

// spread hands the list of targets to all who use it.
func (h *Host) spread() {
	h.mu.Lock()
	targets := h.roster.Targets()
	for id, old := range h.listedTargets() {
		if t, ok := targets[id]; !old.Leaving && (!ok || t.Born != old.Born) {
			now := time.Now()
			h.noteCrashes(now, trail.Origin{}, h.blame.Died(now, id))
		}
	}
	h.picks.SetTargets(targets)
	for id, t := range h.picks.Versions() {
		entry := targets[id]
		entry.Versions = map[string]uint64{t.Model: t.Version}
		targets[id] = entry
	}
	h.mu.Unlock()
	h.targets.Store(&targets)
	h.pool.Keep(targets)
	h.refreshReady()
}

func (h *Host) listedTargets() map[string]roster.Target { return *h.targets.Load() }

func (h *Host) regained() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.roster.Returned(time.Now())
}

func (h *Host) refreshReady() {
	if h.plan.Load() != nil && h.listed.Load() && !h.ready.Load() && !h.stopping() {
		h.ready.Store(true)
		h.logger.Info("ready", "config", h.plan.Load().Version, "targets", len(h.listedTargets()))
	}
}

// keep ends beliefs whose time is over.
func (h *Host) keep(ctx context.Context) error {
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	dropped := int64(0)
	for step := 0; ; step++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		now := time.Now()
		if step%sweepSteps == 0 {
			h.sweep(now)
		}
		if word := h.emptied(); word != nil {
			h.peers.Empty(*word)
		}
		emptied := h.peers.Emptied(now)
		h.mu.Lock()
		expired := h.roster.Expire(now)
		h.picks.SetEmptied(emptied)
		h.picks.SetFloor(now, h.oldestAge())
		h.mu.Unlock()
		if expired {
			h.logger.Info("targets removed whose entries stayed missing")
			h.spread()
		}
		if next := h.lines.Dropped(); next > dropped {
			h.meter.Scope().Counter("log_lines_dropped").Inc(next - dropped)
			dropped = next
		}
	}
}

// sweep drops what has become old: figures of other hosts, and how far caches were
// read that are gone.
func (h *Host) sweep(now time.Time) {
	targets := h.listedTargets()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picks.Expire(now)
	stores := map[string]bool{}
	if p := h.plan.Load(); p != nil {
		for _, s := range p.Stores {
			stores[s.Name] = true
		}
	}
	for name := range h.heard {
		if _, ok := targets[name]; !ok && !stores[name] {
			delete(h.heard, name)
			delete(h.reported, name)
		}
	}
}

// newWeightsMargin is how long before the operators' bound replaced weights
// stop answering: what a request may wait at an engine before it begins.
const newWeightsMargin = 1200 * time.Millisecond

// oldestAge returns how long ago weights may have been replaced and answer. A
// host that the store has left can't tell whether they could be loaded.
func (h *Host) oldestAge() time.Duration {
	if h.feeds[h.platform.OperatorTable].Lost() {
		return 0
	}
	return h.bounds.Load().NewWeights - newWeightsMargin
}

// compose returns what an audience should know.
func (h *Host) compose(to trail.Audience, after peers.Place) peers.Message {
	now := time.Now()
	var m peers.Message
	h.mu.Lock()
	m.Report, m.Next.Parts = h.picks.Report(now, to, after.Parts)
	m.Wanted = h.picks.Wanted(now)
	told, next := h.reads.Since(after.Positions, to)
	m.Next.Positions = next
	m.Crashes, m.Next.Crashes = h.crashesFor(now, to, after.Crashes)
	h.mu.Unlock()
	for _, r := range told {
		if m.Positions == nil {
			m.Positions = map[string]caches.Position{}
		}
		m.Positions[r.cache] = r.at
	}
	return m
}

// crashed is a crash for which a request is to blame.
type crashed struct {
	entry blame.Entry
	at    time.Time
}

func (h *Host) noteCrashes(now time.Time, from trail.Origin, entries []blame.Entry) {
	for _, e := range entries {
		h.crashes.Add(from, crashed{entry: e, at: now.Add(-e.Age)})
	}
}

// crashesFor returns the crashes that an audience has not been told of: all of
// them if it was told nothing yet.
func (h *Host) crashesFor(now time.Time, to trail.Audience, after uint64) ([]blame.Entry, uint64) {
	news, next := h.crashes.Since(after, to)
	if after == trail.Fresh {
		return h.blame.Entries(now), next
	}
	var entries []blame.Entry
	for _, c := range news {
		c.entry.Age = now.Sub(c.at)
		entries = append(entries, c.entry)
	}
	return entries, next
}

// tables returns how well this host knows the platform's tables.
func (h *Host) tables() map[string]peers.Known {
	now := time.Now()
	all := map[string]peers.Known{}
	for name, f := range h.feeds {
		if age, ok := f.Checked(now); ok {
			all[name] = peers.Known{Version: f.Version(), Age: age}
		}
	}
	return all
}

// poke lets the feeds look at what the host said on which this one relies.
func (h *Host) poke() {
	for _, f := range h.feeds {
		f.Poke()
	}
}

// upstream returns how well the host on which this one relies knows a table.
func (h *Host) upstream(table string) (uint64, time.Duration, bool) {
	known, ok := h.peers.Upstream(table)
	return known.Version, known.Age, ok
}

// emptied returns the engines that this host puts out of work; nil while another
// host gives the orders.
func (h *Host) emptied() *peers.Emptied {
	fence := h.giver.Fence()
	if fence == 0 {
		h.desk.Clear()
		return nil
	}
	return &peers.Emptied{Fence: fence, Targets: h.desk.Emptied()}
}

func (h *Host) hear(from trail.Origin, m peers.Message, counted bool) {
	now := time.Now()
	h.mu.Lock()
	if counted {
		h.picks.Hear(now, from, m.Report)
	} else {
		h.picks.HearNews(now, from, m.Report)
	}
	h.noteCrashes(now, from, h.blame.Hear(now, m.Crashes))
	for name, at := range m.Positions {
		h.heard[name] = at
		h.reads.Add(from, read{cache: name, at: at})
	}
	h.mu.Unlock()
	for model, named := range m.Wanted {
		h.noteWeights(model, named)
	}
}

// drop forgets the work of a host that is told of by another one now.
func (h *Host) drop(node string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picks.Drop(node)
}

// rows serves peers that the store turns away.
func (h *Host) rows(name string, after uint64) (feed.Page, bool) {
	f, ok := h.feeds[name]
	if !ok {
		return feed.Page{}, false
	}
	return f.Known(after), true
}
