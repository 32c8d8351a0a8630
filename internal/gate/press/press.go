// Package press decides which requests may wait for a target. Each node reports the work
// that waits with it, arrives and is started, by pool of targets and rank. The sum over
// all nodes tells how long a request that arrives now will wait.
//
// Waiting work and the rate at which it is started are sums over the same nodes, so that
// a node whose reports are missing changes their ratio little.
package press

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/queue"
)

const (
	// rateMemory is the time after which work counts by a factor e less in the rates. It
	// is longer than the age of a report and shorter than a burst.
	rateMemory = 500 * time.Millisecond
	// minRateAge bounds the correction of the rates of a node that has just started.
	minRateAge = 200 * time.Millisecond
	// saturationTime is how long work must have waited without a break before anything is
	// rejected. Reports are up to 0.45 s old, and in normal load no work waits for so long.
	saturationTime = 300 * time.Millisecond
	// maxPeerAge is the age at which a report is dropped.
	maxPeerAge = 1500 * time.Millisecond
	// minShare is the least share of the started work that a rank gets in the estimates.
	// The queue serves a rank at least 0.3 times as often as it arrives.
	minShare        = 0.02
	shareOfArrivals = 0.3
	// shareOfLate is the least share of the work of a rank that goes to late requests
	// while others can be on time; the queue's is one request in eight of each workspace.
	shareOfLate = 1.0 / 8
	// raisedMargin is by how much the wait is overestimated for a rank that rejects
	// already: it stops to reject only when less waits than when it began.
	raisedMargin = 1.15
	// raisedTime is how long a rank keeps that margin after its last rejection.
	raisedTime = 500 * time.Millisecond
	// onTimeMargin is by how much the wait is overestimated to tell whether an answer
	// will be on time.
	onTimeMargin = 1.5
	// maxPauseShare is the share of a client's time left that it is told to pause at most.
	maxPauseShare = 1.0 / 3
	// jitterShare is the share by which a pause is extended at random, rankDelay that by
	// which it is longer for each rank.
	jitterShare = 0.25
	rankDelay   = 0.05
	// cappedJitter is the share by which the longest pause is shortened at random. It is
	// larger, as many clients get that pause and would return together.
	cappedJitter = 0.5
	// minNetDrain is the least share of the started work by which the waiting work must
	// shrink for its end to be predicted.
	minNetDrain = 0.05
	// milli converts rates to the unit of reports.
	milli = 1000
)

// Gate is one node's view of the waiting work of all nodes. It is not safe for concurrent
// use. See [New].
type Gate struct {
	random *rand.Rand
	pools  map[string]*pool
	peers  map[string]*peer
}

type pool struct {
	own           ranks
	arrived       [queue.Ranks]rate
	started       [queue.Ranks]rate
	began, usedAt time.Time
	// peers is the sum of the reports of all peers, children that of this node's children.
	peers, children ranks
	// waitsSince is when the present unbroken wait began, by rank; zero if nothing of that
	// rank or a more urgent one waits.
	waitsSince [queue.Ranks]time.Time
	limits     [queue.Ranks]limit
	// objectives are the objectives of the ranks' requests, as last seen.
	objectives [queue.Ranks]time.Duration
	// rejectedAt is when a request of a rank was last rejected.
	rejectedAt [queue.Ranks]time.Time
}

type peer struct {
	at     time.Time
	child  bool
	report map[string]ranks
}

// rate is a decayed sum of work.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) add(now time.Time, work int) {
	r.sum = r.decayed(now) + float64(work)
	r.at = now
}

func (r *rate) decayed(now time.Time) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-float64(max(now.Sub(r.at), 0))/float64(rateMemory))
}

// New returns a gate that knows of no work. The seed is that of the random pauses.
//
//	gate := press.New(1)
//	gate.Arrived(now, "lm", 0, 628)
//	gate.SetWaiting(now, "lm", waiting)
//	decision := gate.Decide(now, request)
func New(seed uint64) *Gate {
	return &Gate{random: rand.New(rand.NewPCG(seed, seed)), pools: map[string]*pool{}, peers: map[string]*peer{}}
}

func (g *Gate) pool(now time.Time, name string) *pool {
	p, ok := g.pools[name]
	if !ok {
		p = &pool{began: now}
		g.pools[name] = p
	}
	return p
}

func clamp(rank int) int { return min(max(rank, 0), queue.Ranks-1) }

// Arrived records the work of a new request.
func (g *Gate) Arrived(now time.Time, name string, rank, work int) {
	p := g.pool(now, name)
	p.usedAt = now
	p.arrived[clamp(rank)].add(now, work)
}

// Started records the work of a request that is sent to a target.
func (g *Gate) Started(now time.Time, name string, rank, work int) {
	p := g.pool(now, name)
	p.usedAt = now
	p.started[clamp(rank)].add(now, work)
	p.limits[clamp(rank)].balance -= float64(work)
}

// SetWaiting sets the work that waits with this node.
func (g *Gate) SetWaiting(now time.Time, name string, waiting [queue.Ranks]queue.Counts) {
	p := g.pool(now, name)
	p.usedAt = now
	for r, c := range waiting {
		p.own[r] = Figures{Requests: c.Requests, Work: c.Tokens, Late: c.LateTokens}
	}
	p.updateWaits(now)
}

// updateWaits updates since when work waits at each rank.
func (p *pool) updateWaits(now time.Time) {
	waiting := 0
	for r := range p.own {
		waiting += p.own[r].Requests + p.peers[r].Requests
		switch {
		case waiting <= 0:
			p.waitsSince[r] = time.Time{}
		case p.waitsSince[r].IsZero():
			p.waitsSince[r] = now
		}
	}
}

// current returns this node's own figures.
func (p *pool) current(now time.Time) ranks {
	age := max(now.Sub(p.began), minRateAge)
	perSecond := milli / (rateMemory.Seconds() * (1 - math.Exp(-float64(age)/float64(rateMemory))))
	own := p.own
	for r := range own {
		own[r].Arrived = int(p.arrived[r].decayed(now) * perSecond)
		own[r].Started = int(p.started[r].decayed(now) * perSecond)
	}
	return own
}

// estimate is the expected course of the work of one rank.
type estimate struct {
	// onTime is the wait of a request that goes before those that will be late, all that
	// of one that goes after them.
	onTime, all time.Duration
	// clear is when a request would wait for less than the given time.
	clear time.Duration
}

// never is longer than any client waits.
const never = time.Hour

// estimate estimates the wait at a rank.
func (p *pool) estimate(now time.Time, rank int, objective time.Duration) estimate {
	sum := p.current(now).plus(p.peers)
	ahead, urgent, offered, started := 0, 0, 0, 0
	for r, f := range sum {
		started += f.Started
		offered += f.Arrived
		if r < rank {
			ahead += f.Work
			urgent += f.Arrived
		}
	}
	f := sum[rank]
	share := max(shareOfArrivals*float64(f.Arrived)/float64(max(offered, 1)), minShare)
	wait := func(work int) time.Duration {
		direct := duration(float64(ahead+work), float64(max(started-urgent, f.Started)))
		return min(direct, duration(float64(work), share*float64(started)))
	}
	e := estimate{onTime: wait(f.Work - f.Late), clear: never}
	e.all = e.onTime + duration(float64(f.Late), max(float64(started-urgent-f.Arrived), float64(f.Started)*shareOfLate))
	if net := float64(started - urgent - f.Arrived); net > minNetDrain*float64(started) {
		excess := float64(ahead+f.Work) - objective.Seconds()*float64(started)/milli/2
		e.clear = duration(max(excess, 0), net)
	}
	return e
}

// duration returns how long work takes at a rate in thousandths a second.
func duration(work, rate float64) time.Duration {
	if work <= 0 {
		return 0
	}
	seconds := work * milli / max(rate, 1)
	return time.Duration(min(seconds, never.Seconds()) * float64(time.Second))
}

// stalledTime is the time that the waiting work would take from which on nothing counts as
// started.
const stalledTime = time.Minute

// Stalled reports whether work waits and next to none is started by any node.
func (g *Gate) Stalled(now time.Time, name string) bool {
	p, ok := g.pools[name]
	if !ok {
		return false
	}
	work, started := 0, 0
	for _, f := range p.current(now).plus(p.peers) {
		work += f.Work
		started += f.Started
	}
	return duration(float64(work), float64(started)) > stalledTime
}

// Decide decides about a request that no target takes now. It is rejected if it can't be
// answered before its deadline. One that would merely be late waits: a rejection would
// free nothing, since a waiting request holds no slot.
func (g *Gate) Decide(now time.Time, r Request) Decision {
	r.Rank = clamp(r.Rank)
	p := g.pool(now, r.Pool)
	p.updateWaits(now)
	p.objectives[r.Rank] = r.Objective
	e := p.estimate(now, r.Rank, r.Objective)
	basis := Basis{Wait: e.onTime, Level: p.level(now), Age: g.Age(now)}
	if since := p.waitsSince[r.Rank]; since.IsZero() || now.Sub(since) < saturationTime {
		return Queue{basis}
	}
	if scale(e.onTime, onTimeMargin)+r.Need <= r.ObjectiveLeft {
		return Queue{basis}
	}
	basis.Wait = e.all
	margin := 1.0
	if now.Sub(p.rejectedAt[r.Rank]) < raisedTime {
		margin = raisedMargin
	}
	switch {
	case scale(e.all, margin)+r.Need > r.TimeLeft:
		return p.reject(now, r, basis, "it can't be answered before its deadline", g.pause(r, e.clear))
	default:
		return Queue{basis}
	}
}

func (p *pool) reject(now time.Time, r Request, basis Basis, reason string, after time.Duration) Decision {
	p.rejectedAt[r.Rank] = now
	basis.Level = p.level(now)
	return Reject{Basis: basis, Reason: reason, RetryAfter: after}
}

// level returns the lowest rank that rejected lately.
func (p *pool) level(now time.Time) int {
	for r, at := range p.rejectedAt {
		if now.Sub(at) < raisedTime {
			return r
		}
	}
	return queue.Ranks
}

// pause returns the pause of a rejected client: until the wait is expected to be over,
// longer for lower ranks and at random.
func (g *Gate) pause(r Request, until time.Duration) time.Duration {
	longest := scale(r.TimeLeft, maxPauseShare)
	pause := scale(until, 1+rankDelay*float64(r.Rank)+jitterShare*g.random.Float64())
	if pause < longest {
		return pause
	}
	return scale(longest, 1-cappedJitter*g.random.Float64())
}

// Report returns the report for a recipient. A child gets the figures of all nodes but its
// own, others get those of this node and its children.
func (g *Gate) Report(now time.Time, to oplog.Recipient) Report {
	report := Report{}
	for name, p := range g.pools {
		figures := p.current(now)
		if to.Child {
			figures = figures.plus(p.peers)
			if sender, ok := g.peers[to.Node]; ok {
				figures = figures.minus(sender.report[name])
			}
		} else {
			figures = figures.plus(p.children)
		}
		last := queue.Ranks
		for last > 0 && figures[last-1] == (Figures{}) {
			last--
		}
		if last > 0 {
			report[name] = append([]Figures(nil), figures[:last]...)
		}
	}
	return report
}

// ApplyReport replaces what a node reported.
func (g *Gate) ApplyReport(now time.Time, from oplog.Origin, report Report) {
	g.remove(now, from.Node)
	h := &peer{at: now, child: from.Child, report: make(map[string]ranks, len(report))}
	g.peers[from.Node] = h
	for name, figures := range report {
		var all ranks
		for r := range min(len(figures), queue.Ranks) {
			all[r] = figures[r].clean()
		}
		h.report[name] = all
		p := g.pool(now, name)
		p.usedAt = now
		p.peers = p.peers.plus(all)
		if h.child {
			p.children = p.children.plus(all)
		}
	}
	for _, p := range g.pools {
		p.updateWaits(now)
	}
}

// DropPeer removes what a node reported.
func (g *Gate) DropPeer(now time.Time, node string) {
	g.remove(now, node)
	for _, p := range g.pools {
		p.updateWaits(now)
	}
}

func (g *Gate) remove(now time.Time, node string) {
	h, ok := g.peers[node]
	if !ok {
		return
	}
	delete(g.peers, node)
	for name, all := range h.report {
		p := g.pool(now, name)
		p.peers = p.peers.minus(all)
		if h.child {
			p.children = p.children.minus(all)
		}
	}
}

// unusedTime is how long after its last use a pool is forgotten.
const unusedTime = time.Minute

// Expire drops reports that are too old, and pools that are no longer used.
func (g *Gate) Expire(now time.Time) {
	for node, h := range g.peers {
		if now.Sub(h.at) > maxPeerAge {
			g.DropPeer(now, node)
		}
	}
	for name, p := range g.pools {
		p.updateWaits(now)
		if now.Sub(p.usedAt) > unusedTime && p.own == (ranks{}) && p.peers == (ranks{}) {
			delete(g.pools, name)
		}
	}
}

// Age returns the age of the oldest report.
func (g *Gate) Age(now time.Time) time.Duration {
	oldest := now
	for _, h := range g.peers {
		if h.at.Before(oldest) {
			oldest = h.at
		}
	}
	return now.Sub(oldest)
}

// Level returns for each pool the rank from which on requests were rejected lately;
// [queue.Ranks] if none.
func (g *Gate) Level(now time.Time) map[string]int {
	all := make(map[string]int, len(g.pools))
	for name, p := range g.pools {
		all[name] = p.level(now)
	}
	return all
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
