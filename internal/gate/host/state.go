package host

import (
	"context"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/gate/caches"
	"github.com/cicadamill/cicadamill/internal/gate/feed"
	"github.com/cicadamill/cicadamill/internal/gate/needs"
	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/peers"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/node/orders"
	"github.com/cicadamill/cicadamill/internal/safety/order"
)

const (
	// maintainInterval is how often state that changes with time is updated.
	maintainInterval = 50 * time.Millisecond
	// sweepTicks is the number of maintenance ticks between two sweeps.
	sweepTicks = 10
	// shareTicks is the number of maintenance ticks between two computations of the
	// shares of requests that are sent to other data centres.
	shareTicks = 4
)

const (
	// orderInterval is how often the holder of the order lease checks the engines.
	// Their reports are about 100 ms old.
	orderInterval = 100 * time.Millisecond
	// idleReportInterval is how often it checks them while all serve the newest weights:
	// an engine that starts again may have older ones.
	idleReportInterval = time.Second
	// leaseTermPercent is the term of the order lease as a percentage of the
	// minimum time between orders from two hosts. A shorter term needs more
	// renewals, a longer one leaves engines without orders for longer when the
	// holder is lost.
	leaseTermPercent = 66
	// leaseCandidates is how many hosts compete for the lease, so that two can be
	// lost at once.
	leaseCandidates = 3
	// orderTimeout bounds the delivery of one order.
	orderTimeout = 700 * time.Millisecond
	// drainTime is how long an engine may finish its work before new weights are
	// loaded: about the duration of one request.
	drainTime = 600 * time.Millisecond
	// loadTimeout is the time after which a load counts as failed: several times
	// the usual duration.
	loadTimeout = 12 * time.Second
	// settleTime is how long an engine's report may lag behind an order.
	settleTime = 250 * time.Millisecond
	// maxReportAge is the age at which an engine's report is ignored.
	maxReportAge = time.Second
	// Up to minConcurrentLoads engines may load weights at the same time, or one in
	// enginesPerLoad of all engines if that is more.
	minConcurrentLoads = 2
	enginesPerLoad     = 5
)

func seedOf(name string) uint64 { return xxh3.HashString(name) }

func (h *Host) orderOptions() orders.Options {
	bounds := h.settings.Bounds
	return orders.Options{
		Host: h.settings.Name, Config: h.drainer.Config, Dial: h.drainer.Dial, Table: h.platform.Table, Term: bounds.Lease * leaseTermPercent / 100, OrderTimeout: orderTimeout,
		Now: h.platform.Now, HandoverDelay: bounds.Lease, Competes: h.competesForLease, ReportInterval: orderInterval, IdleReportInterval: idleReportInterval,
		Limits: order.Options{
			MaxLoads: minConcurrentLoads, EnginesPerLoad: enginesPerLoad, LoadTimeout: loadTimeout, ReportDelay: settleTime, MaxAge: maxReportAge,
			DrainTimeout: drainTime, RetryForever: true,
		},
		Scope: h.meter.Scope(), Logger: h.logger,
	}
}

// competesForLease reports whether this host competes for the order lease. Only a
// few do, to limit the reads of its row when there are many hosts.
func (h *Host) competesForLease() bool {
	if h.stopping() {
		return false
	}
	return slices.Contains(h.peers.Strongest(time.Now(), leaseCandidates), h.settings.Name)
}

// operatorRows applies rows that operators wrote.
func (h *Host) operatorRows(page feed.Page) {
	late := h.observeClocks() || page.Late
	for _, row := range page.Rows {
		if row.Removed {
			continue
		}
		news, err := h.platform.DecodeOperator(row)
		if err != nil {
			h.meter.Scope().Counter("rows_unreadable").Inc(1)
			h.logger.Warn("failed to decode row", "key", row.Key, "version", row.Version, "error", err)
			continue
		}
		switch n := news.(type) {
		case PlanChange:
			h.applyPlan(n)
		case WeightsChange:
			if late {
				h.announceLate(n, row.Version)
			}
			h.announceWeights(n.Model, pick.AnnouncedVersion{Version: n.Version, Age: page.Unwatched, Guess: late || page.Unsure})
		}
	}
}

// applyPlan applies a configuration unless it is older than the current one.
func (h *Host) applyPlan(n PlanChange) {
	if !n.Plan.Replaces(h.plan.Load()) {
		return
	}
	h.mu.Lock()
	h.picker.SetPlan(n.Plan)
	h.credit.SetLimits(time.Now(), creditLimits(n.Plan, h.bounds.Load().Quota))
	h.mu.Unlock()
	// Requests that the new plan admits find its cache scopes in the picker.
	h.plan.Store(n.Plan)
	h.proxy.CancelUnsent()
	l := n.Plan.Limits
	if h.server != nil {
		h.server.SetLimits(local.Limits{
			BodyBytes: l.BodyBytes, HeaderBytes: l.HeaderBytes, HeaderMillis: int(l.HeaderTimeout.Milliseconds()),
			IdleMillis: int(l.IdleTimeout.Milliseconds()),
		})
	}
	h.logger.Info("configuration in force", "config", n.Plan.Version, "services", len(n.Plan.Services), "sharedScope", n.Plan.CacheScope(""))
	h.refreshReady()
}

func (h *Host) wanted() map[string]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	versions := map[string]uint64{}
	for model, newest := range h.picker.Newest(time.Now()) {
		versions[model] = newest.Version
	}
	return versions
}

func (h *Host) running(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.picker.Running(time.Now(), id)
}

// observeVersion records a weight version that a target was observed to serve.
func (h *Host) observeVersion(id, model string, version uint64) {
	t, ok := h.listedTargets()[id]
	if !ok {
		return
	}
	h.mu.Lock()
	newer := h.picker.ObserveVersion(time.Now(), id, pick.ObservedVersion{Born: t.Born, Model: model, Version: version})
	h.mu.Unlock()
	if newer {
		h.logger.Info("target serves other weights", "target", id, "model", model, "weights", version)
	}
}

func (h *Host) refreshReady() {
	if h.plan.Load() != nil && h.targetsListed.Load() && !h.ready.Load() && !h.stopping() {
		h.ready.Store(true)
		h.logger.Info("ready", "config", h.plan.Load().Version, "targets", len(h.listedTargets()))
	}
}

// maintain periodically updates the state that changes with time.
func (h *Host) maintain(ctx context.Context) error {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	dropped := int64(0)
	for step := 0; ; step++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		now := time.Now()
		h.observeClocks()
		if step%sweepTicks == 0 {
			h.sweep(now)
		}
		if step%shareTicks == 0 {
			h.updateShares(now)
		}
		if own := h.ownDraining(); own != nil {
			h.peers.SetDrained(*own)
		}
		draining := h.peers.Drained(now)
		maxAge, nodes := h.maxReplacedAge(), h.peers.Nodes()
		h.mu.Lock()
		expired := h.roster.Expire(now)
		h.picker.SetNodes(nodes)
		h.credit.Tick(now)
		h.picker.SetDraining(draining)
		h.picker.SampleLoad(now)
		h.picker.SetMaxReplacedAge(now, maxAge)
		h.mu.Unlock()
		h.proxy.CancelReplaced(now)
		h.proxy.CancelDeadly(now)
		h.proxy.CancelRescoped(now)
		h.logMaxReplacedAge(maxAge)
		if expired {
			h.logger.Info("removed targets with expired entries")
			h.publishTargets()
		}
		if next := h.lines.Dropped(); next > dropped {
			h.meter.Scope().Counter("log_lines_dropped").Inc(next - dropped)
			dropped = next
		}
	}
}

// observeClocks records that the process runs, and reports whether what it learns now
// may have happened long before because it was stalled.
func (h *Host) observeClocks() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if lost := h.stalls.Observe(time.Now(), h.platform.Now()); lost > 0 {
		h.picker.AgeAnnouncements(lost)
		h.credit.Stalled(time.Now())
		h.logger.Info("host was suspended", "forMs", lost.Milliseconds())
	}
	return h.stalls.Late()
}

// sweep drops outdated load reports and the positions of caches that no longer
// exist.
func (h *Host) sweep(now time.Time) {
	targets := h.listedTargets()
	counted, reached := h.peers.Reached(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picker.Expire(now)
	h.proxy.ExpirePressure(now)
	h.needs.SetHosts(now, counted, reached)
	h.credit.SetNodes(now, len(counted))
	h.credit.Expire(now)
	h.needs.Expire(now, func(of needs.Instance) bool {
		t, ok := targets[of.ID]
		return ok && t.Born == of.Born
	})
	h.logSlowTargets(h.picker.SlowTargets(now))
	h.recordSpeeds(h.picker.Speeds(now))
	h.deadly.LogRefused(now)
	stores := map[string]bool{}
	if p := h.plan.Load(); p != nil {
		for _, s := range p.Stores {
			stores[s.Name] = true
		}
	}
	for name := range h.cachePositions {
		if _, ok := targets[name]; !ok && !stores[name] {
			delete(h.cachePositions, name)
			delete(h.positionReportedAt, name)
		}
	}
}

// recordSpeeds updates the gauges of the fastest, the median and the slowest target of
// each service. A gauge for each target would be too many in a large fleet.
func (h *Host) recordSpeeds(speeds map[string][]float64) {
	for service, all := range speeds {
		if len(all) == 0 {
			continue
		}
		for rank, index := range map[string]int{"fastest": 0, "median": (len(all) - 1) / 2, "slowest": len(all) - 1} {
			h.meter.Scope().Tagged(map[string]string{"service": service, "rank": rank}).Gauge("target_speed").Update(all[index])
		}
	}
}

// logSlowTargets logs the targets that have turned slow or are no longer.
func (h *Host) logSlowTargets(slow []string) {
	h.meter.Scope().Gauge("targets_slow").Update(float64(len(slow)))
	for _, id := range slow {
		if !slices.Contains(h.slowTargets, id) {
			h.logger.Info("target turned slow", "target", id)
		}
	}
	for _, id := range h.slowTargets {
		if !slices.Contains(slow, id) {
			h.logger.Info("target no longer slow", "target", id)
		}
	}
	h.slowTargets = slow
}

// newWeightsMargin is how long before the operators' bound replaced weights stop
// answering: the time that a request may wait at an engine before it begins, and the
// time until a cancellation has reached the engine.
const newWeightsMargin = pick.MaxBeginWait + 200*time.Millisecond

// supersededBounds is for how many times the operators' bound versions are sent to
// other hosts after a newer one was announced: a host that was away for that long
// doesn't need them, as the newer one's bound has passed, too.
const supersededBounds = 2

// maxReplacedAge returns how long after their replacement weights may still answer;
// zero means without limit. That is the case while the store is unavailable, since
// the host can't determine then whether newer weights could be loaded.
func (h *Host) maxReplacedAge() time.Duration {
	if h.feeds[h.platform.OperatorTable].Unavailable() {
		return 0
	}
	return h.bounds.Load().NewWeights - newWeightsMargin
}

// logMaxReplacedAge logs changes of the limit and updates its gauge.
func (h *Host) logMaxReplacedAge(limit time.Duration) {
	limited := 0.0
	if limit > 0 {
		limited = 1
	}
	h.meter.Scope().Gauge("replaced_weights_limited").Update(limited)
	if limit != h.loggedMaxReplacedAge {
		h.logger.Info("limit on replaced weights changed", "fromMs", h.loggedMaxReplacedAge.Milliseconds(), "toMs", limit.Milliseconds())
		h.loggedMaxReplacedAge = limit
	}
}

// compose returns the message for a recipient.
func (h *Host) compose(to oplog.Recipient, after peers.Cursor) peers.Message {
	now := time.Now()
	var m peers.Message
	h.mu.Lock()
	m.Report, m.Next.Parts = h.picker.Report(now, to, after.Parts)
	m.Report.Timing, m.Next.Timing = h.picker.ReportTiming(now, to, after.Timing)
	m.Wanted = h.picker.Newest(now)
	m.Superseded = h.picker.Superseded(now, supersededBounds*h.bounds.Load().NewWeights)
	m.Needs, m.Next.Needs = h.needs.Since(now, to, after.Needs)
	m.Credit = h.credit.Report(now, to)
	updates, next := h.positionUpdates.Since(after.Positions, to)
	m.Next.Positions = next
	m.Pressure = h.proxy.Pressure(now, to)
	h.mu.Unlock()
	m.Crashes, m.Survivals, m.Next.Crashes = h.deadly.Since(now, to, after.Crashes)
	for _, r := range updates {
		if m.Positions == nil {
			m.Positions = map[string]caches.Position{}
		}
		m.Positions[r.cache] = r.at
	}
	return m
}

// tables returns the version and age of this host's copy of each table.
func (h *Host) tables() map[string]peers.TableState {
	now := time.Now()
	all := map[string]peers.TableState{}
	for name, f := range h.feeds {
		if age, ok := f.ConfirmedAge(now); ok {
			all[name] = peers.TableState{Version: f.Version(), Age: age}
		}
	}
	return all
}

// notifyFeeds makes the feeds check the table versions received from the parent.
func (h *Host) notifyFeeds() {
	for _, f := range h.feeds {
		f.Wake()
	}
}

// upstream returns the version and age of the parent's copy of a table.
func (h *Host) upstream(table string) (uint64, time.Duration, bool) {
	known, ok := h.peers.Upstream(table)
	return known.Version, known.Age, ok
}

// ownDraining returns the engines that this host drains for a load; nil while
// another host sends the orders.
func (h *Host) ownDraining() *peers.Drained {
	fence := h.orders.Fence()
	if fence == 0 {
		h.drainer.Clear()
		return nil
	}
	return &peers.Drained{Fence: fence, Targets: h.drainer.Drained()}
}

func (h *Host) receive(from oplog.Origin, m peers.Message, countLoad bool) {
	late := h.observeClocks()
	now := time.Now()
	h.mu.Lock()
	if countLoad {
		h.picker.ApplyReport(now, from, m.Report)
		h.credit.Apply(now, from, m.Credit)
	} else {
		h.picker.ApplyReportWithoutLoad(now, from, m.Report)
	}
	for name, at := range m.Positions {
		h.cachePositions[name] = at
		h.positionUpdates.Add(from, positionUpdate{cache: name, at: at})
	}
	changes := h.needs.Merge(now, m.Needs)
	h.proxy.ApplyPressure(now, from, m.Pressure, countLoad)
	h.mu.Unlock()
	h.applyNeeds(changes)
	h.deadly.Merge(now, m.Crashes, m.Survivals)
	for model, announced := range m.Wanted {
		announced.Guess = announced.Guess || late
		h.announceWeights(model, announced)
	}
	for model, all := range m.Superseded {
		for _, announced := range all[:min(len(all), maxAnnouncements)] {
			announced.Guess = announced.Guess || late
			h.announceWeights(model, announced)
		}
	}
}

// namesUp returns the names of the other hosts that are up.
func (h *Host) namesUp() []string {
	var names []string
	for _, node := range h.peers.Up(time.Now()) {
		names = append(names, node.Name)
	}
	return names
}

// dropPeer removes the load of a host that another host now reports.
func (h *Host) dropPeer(node string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picker.DropPeer(node)
	h.proxy.DropPressure(time.Now(), node)
	h.credit.DropPeer(node)
}

// rows returns a table's changes for peers that can't reach the store; false if this host
// has no copy of it.
func (h *Host) rows(name string, after uint64) (feed.Page, bool) {
	f, ok := h.feeds[name]
	if !ok || f.Version() == 0 {
		return feed.Page{}, false
	}
	return f.Changes(after), true
}
