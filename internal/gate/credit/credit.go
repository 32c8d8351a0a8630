// Package credit decides whether a request of a workspace may run, so that all nodes
// together stay within the workspace's limit in every sliding window.
//
// Nodes exchange sums of what they admitted and were asked for. While the use that they
// know of leaves room for what others may have admitted since, a node admits whatever
// comes, since a workspace's callers may come to any node. Otherwise each node admits at
// a rate: its part of the limit in proportion to what it is asked for. In either case no
// request is admitted that would exceed the window as far as known.
//
// A group of nodes that is cut off from the others has a part of the limit, in proportion
// to its use before and its number of nodes, so that the sum holds without messages.
package credit

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/refill"
	"github.com/cicadamill/cicadamill/internal/route/place"
)

const (
	// reportDelay is the time in which what a node admits is known to all others: up to
	// three intervals of the messages in a tree, and their transfer.
	reportDelay = 750 * time.Millisecond
	// maxReportAge is the age at which the report of a node is dropped: six intervals of
	// the messages in a tree.
	maxReportAge = time.Second
	// maxSumAge is the age at which a sum that a node no longer reports is dropped.
	// Unchanged sums are reported at least every refreshInterval and one may be lost.
	maxSumAge = 2 * time.Second
	// shareTime is the time that the sums of what was asked for cover, recentTime that of
	// what was admitted lately. Shares need a longer one, since a small workspace sends a
	// few requests a second.
	shareTime  = 4 * time.Second
	recentTime = 600 * time.Millisecond
	// maxGap is the time without any call after which the process counts as stalled.
	maxGap = 500 * time.Millisecond
	// memory is how long nodes are counted that no report covers any more. Their part of
	// the limit is held back meanwhile, as they may only be cut off.
	memory = 30 * time.Second
	// startTime is how long after the start at least startNodes are counted: the others
	// become known in this time.
	startTime  = 2 * time.Second
	startNodes = 64
	// maxAmount bounds the amount of one request, so that sums don't overflow.
	maxAmount = 1e12
	// idleTime is how long a workspace without requests or reports is kept.
	idleTime = 30 * time.Second
)

const (
	// margin is the part of what a window tolerates that is left unused, since changes
	// below noticeable are reported late. marginBurst is a further part of burst and slack,
	// for bursts that come to many nodes at once.
	margin      = 0.035
	marginBurst = 0.37
	// startPart is the part of what nodes don't plan with that they admit at once after a
	// start of all nodes, when nothing is known of what was admitted before.
	startPart = 0.5
	// usedRate is the part of the rate that is divided while demand exceeds it. The window
	// tolerates more; what is above one makes up for shares that lag behind demand.
	usedRate = 1.04
	// floor is the part of the limit that is divided equally, so that a node that no
	// request has reached yet has a share.
	floor = 0.03
	// floorReach is the same for the division among groups of nodes that don't reach each
	// other. It is larger since a workspace's use may move between them.
	floorReach = 0.1
	// surge is the growth of demand within reportDelay that a node assumes of others, and
	// usualDemand the least demand that it assumes, as a part of the rate.
	surge       = 1.2
	usualDemand = 1.8
	// A node admits without a share at most ownSurge times its part of the rate within
	// reportDelay, ownRequests more of its largest requests, and ownRoom of the room that is
	// left: a burst may come to all nodes at once.
	ownSurge    = 2
	ownRequests = 2
	ownRoom     = 0.05
	// urgentTime is the time of the rate that is kept for requests that are more urgent than
	// others of their workspace: they may exceed the share of a node by so much, and the
	// others leave so much of the window. urgentPart is the part of the rate that they may
	// take so: the rest remains for the others.
	urgentTime = time.Second
	urgentPart = 0.9
	// maxCorrection bounds the factor by which rates are corrected when the use differs
	// from the limit; correctionGain is its gain.
	maxCorrection  = 1.6
	minCorrection  = 0.6
	correctionGain = 3
	// minAfter and maxAfter bound the time after which a rejected request may return, and
	// spread is the largest random extension of it, as a part of it.
	minAfter = 100 * time.Millisecond
	maxAfter = 10 * time.Second
	spread   = 0.5
)

// Tracker holds the use of all limits. It is not safe for concurrent use. See [New].
type Tracker struct {
	bound  Bound
	random *rand.Rand
	// startedAt is the time of the first call, calledAt that of the last one.
	startedAt, calledAt time.Time
	members             members
	// limits are all limits by the hash of the workspace's name, workspaces the use of those
	// that are or were used lately.
	limits     map[uint64]Limit
	workspaces map[uint64]*workspace
	// reported are the workspaces that each peer reports, scarce those that are reported to
	// children that don't report them.
	reported map[string]map[uint64]*workspace
	scarce   map[uint64]*workspace
	// leafAt is when this node last had a parent.
	leafAt time.Time
	// heardAt is when the number of nodes that reports cover last changed.
	heardAt time.Time
	// closedNotices is when a parent last reported that a limit is not open, by the lower half of the
	// hash of the workspace's name.
	closedNotices map[uint32]time.Time
}

// workspace is the use of one limit.
type workspace struct {
	limit Limit
	// loweredAt is when the limit was lowered, before what it allowed until then.
	loweredAt time.Time
	before    float64
	// used is what this node has admitted, asked what it was asked for.
	used, asked window
	// share is what this node accumulates of its share.
	share refill.Share
	// largest is the largest amount that was asked for lately.
	largest float64
	// peers are the sums reported by each node; peerSum and childSum add up those of all
	// nodes and those of this node's children.
	peers             map[string]peerSum
	peerSum, childSum Sum
	// lost is use that was reported by nodes that are silent now.
	lost lost
	// reach is the part of the limit that is divided among the nodes that reports cover.
	reach reach
	// changedAt is when the sums to report last changed noticeably, reported was the sum
	// then.
	changedAt time.Time
	reported  Sum
	// toldAt is when a sum of another node last came.
	toldAt time.Time
	// sent is when the sums were last reported to nodes that are no children.
	sent sent
	// closed is true while the limit is scarce and not open, since closedAt.
	closed   bool
	closedAt time.Time
	// activeAt is when a request or a report last came.
	activeAt time.Time
	// ranks is when a request of each rank last came, urgent what requests took of the
	// share that had a more urgent rank than others.
	ranks  [Ranks]time.Time
	urgent window
}

// New returns a tracker without any use, for a node with the given name.
//
//	tracker := credit.New("front-1", credit.Bound{Window: 8 * time.Second, Excess: 0.1})
//	tracker.SetNodes(now, names)
//	tracker.SetLimits(now, map[string]credit.Limit{"members": limit})
//	switch d := tracker.Admit(now, "members", rank, tokens).(type) {
//	case credit.Admitted:
//		if !run() {
//			tracker.Return(now, d.Credit)
//		}
//	case credit.Rejected:
//		reject(d.After)
//	}
func New(self string, bound Bound) *Tracker {
	seed := place.Hash(self)
	return &Tracker{
		bound: bound, random: rand.New(rand.NewPCG(seed, seed)), limits: map[uint64]Limit{}, workspaces: map[uint64]*workspace{},
		reported: map[string]map[uint64]*workspace{}, scarce: map[uint64]*workspace{}, closedNotices: map[uint32]time.Time{},
		members: members{peers: map[string]peerNodes{}},
	}
}

// SetBound replaces what the operators tolerate.
func (t *Tracker) SetBound(bound Bound) {
	if bound.Window != t.bound.Window {
		// The slots have another length.
		clear(t.workspaces)
		clear(t.reported)
		clear(t.scarce)
	}
	t.bound = bound
}

// SetGone sets how many of the nodes that may be running are known to have ended, since
// nothing listens at their addresses. Their parts of limits are divided among the others.
func (t *Tracker) SetGone(now time.Time, count int) {
	t.tick(now)
	t.members.gone = count
}

// SetNodes sets the number of nodes that may be running, this one included.
func (t *Tracker) SetNodes(now time.Time, count int) {
	t.tick(now)
	t.members.counted = count
}

// step returns the number of the slot of a time. It begins at slots, so that no slot
// counts before it was used.
func (t *Tracker) step(now time.Time) int64 {
	return slots + int64(now.Sub(t.startedAt)/slotTime(t.bound.Window))
}

func (t *Tracker) slotsIn(length time.Duration) int64 {
	return int64(length/slotTime(t.bound.Window)) + 1
}

// Tick notices that the process did not run for a while. Its owner calls it at intervals
// well below maxGap.
func (t *Tracker) Tick(now time.Time) { t.tick(now) }

// tick notices a stall of the process. After it, nothing accumulated counts, and no
// report from before.
func (t *Tracker) tick(now time.Time) {
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	if !t.calledAt.IsZero() && now.Sub(t.calledAt) > maxGap {
		t.Stalled(now)
	}
	t.calledAt = now
}

// Stalled drops what accumulated while the process did not run, and all reports.
func (t *Tracker) Stalled(now time.Time) {
	for _, w := range t.workspaces {
		w.share.Empty(now)
	}
	for node := range t.members.peers {
		t.DropPeer(node)
	}
	t.updateReach(now)
}

func (t *Tracker) workspace(now time.Time, key uint64) *workspace {
	w, ok := t.workspaces[key]
	if !ok {
		w = &workspace{limit: t.limits[key], peers: map[string]peerSum{}}
		t.workspaces[key] = w
	}
	t.advance(now, w)
	w.activeAt = now
	return w
}

func (t *Tracker) advance(now time.Time, w *workspace) {
	step := t.step(now)
	w.used.advance(step)
	w.asked.advance(step)
	w.urgent.advance(step)
}

// own returns the sums of this node.
func (t *Tracker) own(w *workspace) Sum {
	return Sum{
		Used: int(math.Ceil(w.used.sum)), Asked: int(w.asked.last(t.slotsIn(shareTime))), Recent: int(w.used.last(t.slotsIn(recentTime))),
	}
}

// Admit decides whether a request of a workspace may run that counts as the given amount.
func (t *Tracker) Admit(now time.Time, name string, rank int, amount float64) Decision {
	t.tick(now)
	t.expireNodes(now)
	key := place.Hash(name)
	if t.limits[key].Rate <= 0 {
		return Admitted{}
	}
	amount = min(max(amount, 1), maxAmount)
	w := t.workspace(now, key)
	step := t.step(now)
	first := w.largest == 0
	w.largest = max(w.largest, amount)
	w.asked.add(step, amount)
	v := t.view(now, w)
	needed := 0.0
	if at, ok := t.closedNotices[uint32(key)]; ok && now.Sub(at) <= closedAge && len(w.peers) == 0 {
		// The use of others is not known yet, so that no debt is allowed.
		v.starts, needed = true, amount
	}
	if v.share()*v.unplanned < amount {
		// Parts that are smaller than a request would add up to many requests.
		v.unplanned = 0
	}
	v.allowed += v.unplanned
	w.share.Set(now, v.rate(), v.depth())
	if first {
		// Nodes that get their first requests at the same time don't have one each: they are
		// as far from the next one as if they had admitted others before.
		w.share.Take(now, t.random.Float64()*amount-v.share()*v.unplanned)
	}
	urgent, yields := w.recordRank(now, rank)
	if reserve := urgentTime.Seconds() * v.rate(); w.urgent.last(t.slotsIn(shareTime)) < urgentPart*v.rate()*shareTime.Seconds() {
		if urgent {
			needed -= reserve
		}
		if yields {
			v.allowed -= reserve / max(v.share(), floor)
		}
	}
	if v.fits(w, amount) && (v.open(w, t, amount) || w.share.Amount(now) > needed) {
		w.used.add(step, amount)
		if urgent {
			w.urgent.add(step, amount)
		}
		w.share.Take(now, amount)
		// A burst that the window had room for is no debt.
		w.share.Forgive(now, amount)
		return Admitted{Limited: true, Basis: v.basis(now, w), Credit: Credit{workspace: key, step: step, amount: amount}}
	}
	return Rejected{Basis: v.basis(now, w), After: t.after(now, w, v, amount)}
}

// recordRank records a request of a rank and reports whether the workspace lately sent less
// urgent ones, and whether it sent more urgent ones.
func (w *workspace) recordRank(now time.Time, rank int) (urgent, yields bool) {
	rank = min(max(rank, 0), Ranks-1)
	w.ranks[rank] = now
	lately := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) <= shareTime }
	return slices.ContainsFunc(w.ranks[rank+1:], lately), slices.ContainsFunc(w.ranks[:rank], lately)
}

// Return gives back what a request took that did not run.
func (t *Tracker) Return(now time.Time, c Credit) {
	t.tick(now)
	if _, ok := t.workspaces[c.workspace]; !ok {
		return
	}
	w := t.workspace(now, c.workspace)
	w.used.add(c.step, -c.amount)
	w.share.Take(now, -c.amount)
}

// SetLimits replaces all limits, by the names of the workspaces.
func (t *Tracker) SetLimits(now time.Time, limits map[string]Limit) {
	t.tick(now)
	clear(t.limits)
	for name, limit := range limits {
		t.limits[place.Hash(name)] = limit
	}
	for key, w := range t.workspaces {
		// The use before the change of a lower limit was right then: until it has left the
		// window, only the rate is lowered.
		if before := t.allowed(now, w); t.bound.planned(t.limits[key]) < before {
			w.loweredAt, w.before = now, before
		}
		w.limit = t.limits[key]
	}
}

// allowed returns the most that all nodes may admit in the window that ends now.
func (t *Tracker) allowed(now time.Time, w *workspace) float64 {
	if w.loweredAt.IsZero() || now.Sub(w.loweredAt) >= t.bound.Window {
		return t.bound.planned(w.limit)
	}
	left := 1 - now.Sub(w.loweredAt).Seconds()/t.bound.Window.Seconds()
	return left*w.before + (1-left)*t.bound.planned(w.limit)
}

// view is what a node knows of a limit at a decision.
type view struct {
	limit Limit
	bound Bound
	// lowered is true while use counts that a higher limit allowed.
	lowered bool
	own     Sum
	// all are the sums of all nodes that reports cover, used their use, that of nodes that
	// are silent included.
	all  Sum
	used float64
	// allowed is the most that the nodes that reports cover may admit in a window, reach
	// their part of the limit, nodes their number.
	allowed, reach float64
	nodes          int
	// established is true when the node has run for a whole window, or others have reported
	// it of that time.
	established bool
	// unplanned is what the nodes that reports cover may admit at once after a start of all
	// nodes.
	unplanned float64
	// starts is true while the node doesn't know yet what others are asked for.
	starts bool
	age    time.Duration
}

func (t *Tracker) view(now time.Time, w *workspace) view {
	own := t.own(w)
	v := view{limit: w.limit, bound: t.bound, own: own, all: own.plus(w.peerSum), nodes: t.members.covered()}
	v.lowered = !w.loweredAt.IsZero() && now.Sub(w.loweredAt) < t.bound.Window
	fresh, ignorant := !w.reach.known, t.ignorant(now, w)
	w.lost.change(now, w.reach.update(v.nodes, t.members.count(now, t.startedAt), float64(v.all.Used), t.bound.planned(w.limit), ignorant))
	if fresh && ignorant && w.reach.part < 1 {
		// The nodes that are missing may have used most of it.
		w.reach.part, w.reach.guessed = floorReach*w.reach.part, true
	}
	v.reach = w.reach.part
	allowed := t.allowed(now, w)
	v.allowed = allowed * v.reach
	// What silent nodes used is within their part of the limit until they return.
	v.used = float64(v.all.Used) + max(t.lost(now, w)-allowed*(1-v.reach), 0)
	v.established = t.ran(now) || t.members.known()
	if !v.established {
		// What was admitted before a start of all nodes leaves the window at this pace.
		v.allowed *= now.Sub(t.startedAt).Seconds() / t.bound.Window.Seconds()
		v.unplanned = startPart * (t.bound.allowed(w.limit) - t.bound.planned(w.limit)) * v.reach
	}
	v.starts = now.Sub(t.startedAt) < 2*reportDelay
	v.age = t.members.age(now)
	return v
}

// share returns this node's part of the part that is within reach.
func (v view) share() float64 {
	equal := floor * v.limit.Rate * v.reach * shareTime.Seconds()
	if v.starts {
		return 1 / float64(v.nodes)
	}
	return (float64(v.own.Asked) + equal/float64(v.nodes)) / (float64(v.all.Asked) + equal)
}

// correction raises the rate when less is used than the limit, since shares lag behind
// demand, and lowers it when more is.
func (v view) correction() float64 {
	if !v.established || v.lowered {
		return 1
	}
	target := usedRate * v.limit.Rate * v.bound.Window.Seconds() * v.reach
	return min(max(1+correctionGain*(target-v.used)/target, minCorrection), maxCorrection)
}

// rate returns the amount per second that this node admits in any case.
func (v view) rate() float64 {
	return v.share() * v.reach * usedRate * v.limit.Rate * v.correction()
}

// depth returns the largest amount that this node accumulates.
func (v view) depth() float64 {
	return v.share() * v.reach * (v.limit.Burst + v.limit.Rate*reportDelay.Seconds())
}

// fits reports whether the window has room for an amount, besides what other nodes admit
// at their rates before this node knows of it, or at the pace at which they do.
func (v view) fits(w *workspace, amount float64) bool {
	rate := (1 - v.share()) * v.reach * usedRate * v.limit.Rate
	return v.used+max(rate, surge*v.burst(w))*reportDelay.Seconds()+amount <= v.allowed
}

// open reports whether the window has room for an amount even if other nodes admit all
// that comes to them before this node knows of it.
func (v view) open(w *workspace, t *Tracker, amount float64) bool {
	if !v.established || v.lowered || v.starts {
		return false
	}
	room := v.allowed - v.used - v.others(w) - amount
	if room < 0 {
		return false
	}
	steady := v.share() * v.reach * v.limit.Rate * reportDelay.Seconds()
	return w.used.last(t.slotsIn(reportDelay))+amount <= ownSurge*steady+ownRequests*w.largest+ownRoom*room
}

// others returns what other nodes may admit in reportDelay if they admit all that comes.
func (v view) others(w *workspace) float64 {
	steady := float64(v.all.Asked-v.own.Asked) / shareTime.Seconds()
	usual := (1 - v.share()) * usualDemand * v.limit.Rate * v.reach
	return max(surge*v.burst(w), surge*steady, usual) * reportDelay.Seconds()
}

// burst returns the amount per second that other nodes admitted of late. The requests of a
// small workspace are few in this time: the usual deviation of their number is no burst.
func (v view) burst(w *workspace) float64 {
	recent := max(float64(v.all.Recent-v.own.Recent), 0)
	return (recent - math.Sqrt(recent*w.largest)) / recentTime.Seconds()
}

func (v view) basis(now time.Time, w *workspace) Basis {
	return Basis{Share: v.share() * v.reach, Reach: v.reach, Amount: w.share.Amount(now), Used: v.used, Allowed: v.allowed, Age: v.age}
}

// after returns when a rejected request may be admitted. It is extended at random, so
// that callers do not return together.
func (t *Tracker) after(now time.Time, w *workspace, v view, amount float64) time.Duration {
	wait, ok := w.share.Wait(now, 0)
	if !ok {
		wait = maxAfter
	}
	if over := v.used + amount - v.allowed; over > 0 {
		wait = max(wait, time.Duration(min(over/v.limit.Rate, maxAfter.Seconds())*float64(time.Second)))
	}
	if v.starts {
		// The reports of others will tell how much of the limit is left.
		wait = min(wait, 2*reportDelay-now.Sub(t.startedAt))
	}
	wait = min(max(wait, minAfter), maxAfter)
	return wait + time.Duration(t.random.Float64()*spread*float64(wait))
}
