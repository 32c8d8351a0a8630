// Package queue orders the requests that wait in one host for targets of one service:
// by rank, then those whose answer can still be on time, then fairly between workspaces by
// tokens. Lower ranks and late requests keep a small share.
package queue

import (
	"math"
	"slices"
	"time"
)

// Ranks is the number of ranks; rank 0 is the most urgent.
const Ranks = 10

const (
	// shareOfArrivals is the part of its share of the arrivals that each rank is served
	// at least, in requests. A kind of request must not be served less than a quarter as
	// often as requests overall; the rest is a margin.
	shareOfArrivals = 0.3
	// maxCredit bounds the requests that a rank may have saved up of that share.
	maxCredit = 2
	// arrivalMemory is the time after which an arrival counts by a factor e less in the
	// ranks' shares of the arrivals. It is longer than a burst.
	arrivalMemory = 10 * time.Second
	// lateEvery is how many requests of a rank one late request follows at the latest, if
	// there is any.
	lateEvery = 8
	// maxPassed is how many smaller requests may pass a larger one that can't be placed
	// before capacity is reserved for it, and reserveTime for how long at a time.
	maxPassed   = 16
	reserveTime = 60 * time.Millisecond
	// minCounters is the number of workspaces from which on the counters of those that
	// have nothing waiting and no debt are dropped.
	minCounters = 4096
)

// Entry is a request that waits.
type Entry struct {
	// ID identifies the request in the queue.
	ID uint64
	// Rank is its urgency, from 0 to [Ranks] - 1.
	Rank int
	// Workspace is the workspace that it is charged to.
	Workspace string
	// Pool names the targets that may take requests like this, Group the requests of that
	// pool that can be placed under the same conditions: if one can't, none can.
	Pool, Group string
	// Narrowed is true if only some targets of the pool may take the request.
	Narrowed bool
	// Tokens is the work that the workspace is charged with.
	Tokens int
	// Returned is true if the client was rejected before.
	Returned bool
	// StartBy is when the request must start to be answered on time.
	StartBy time.Time
	// Deadline is the end of the client's time.
	Deadline time.Time
}

// Outcome is what became of an entry that [Queue.Serve] offered.
type Outcome int

// Outcomes of an offer.
const (
	// Blocked means that no target can take the entry now.
	Blocked Outcome = iota
	// Placed means that a target takes the entry.
	Placed
	// Ended means that the entry no longer waits, without having been placed.
	Ended
)

// Counts are the number of entries at one rank, their tokens, and those of the entries that
// will be late.
type Counts struct{ Requests, Tokens, LateTokens int }

// Queue holds the requests that wait for one service. It is not safe for concurrent use.
// See [New].
type Queue struct {
	items  map[uint64]*item
	groups map[string]*group
	// order has the groups in the order of their creation.
	order []*group
	ranks [Ranks]rankState
	pools map[string]*[Ranks]Counts
	seq   uint64
	// turnedLate are entries that have become late since the last [Queue.Refresh].
	turnedLate []*item
	// arrivals is the number of arrivals of all ranks, decayed until arrivedAt.
	arrivals  float64
	arrivedAt time.Time
}

// rankState is the state of a rank over all groups.
type rankState struct {
	counters map[string]*counter
	// trimAt is the number of counters at which unused ones are dropped.
	trimAt int
	// virtualTime is the highest start of the entries placed, in tokens of a workspace.
	virtualTime float64
	waiting     int
	// placed is the number of entries placed.
	placed int
	// arrivals is the decayed number of arrivals; credit is what it may place before
	// others, in requests.
	arrivals, credit float64
}

// counter is the virtual token counter of a workspace at one rank.
type counter struct {
	name    string
	used    float64
	waiting int
}

// group holds the entries of one group.
type group struct {
	queue      *Queue
	name, pool string
	narrowed   bool
	lanes      [Ranks]lane
	length     int
	// counts are those of the pool.
	counts *[Ranks]Counts
	// blocked is the rank from which on entries can't be placed; [Ranks] if none.
	blocked int
	// size is the size of the last entry that couldn't be placed, passed the number of
	// smaller ones placed since, and reservedUntil the time until which these wait.
	size, passed  int
	reservedUntil time.Time
}

// New returns an empty queue.
//
//	q := queue.New()
//	q.Push(now, queue.Entry{ID: 1, Workspace: "members", Tokens: 400})
//	q.Serve(now, func(e queue.Entry) queue.Outcome { return queue.Placed })
func New() *Queue {
	q := &Queue{items: map[uint64]*item{}, groups: map[string]*group{}, pools: map[string]*[Ranks]Counts{}}
	for r := range q.ranks {
		q.ranks[r].counters = map[string]*counter{}
	}
	return q
}

// Len returns the number of entries.
func (q *Queue) Len() int { return len(q.items) }

// Refresh finds the entries that can no longer be on time and returns those that wait and
// have become so since the last call. Those behind entries of returned clients are found
// once they come first.
func (q *Queue) Refresh(now time.Time) []Entry {
	for _, g := range q.order {
		for r := range g.lanes {
			for _, f := range slices.Clone(g.lanes[r].onTime.flows) {
				g.lanes[r].moveLate(f, now)
			}
		}
	}
	var all []Entry
	for _, it := range q.turnedLate {
		if q.items[it.ID] == it {
			all = append(all, it.Entry)
		}
	}
	q.turnedLate = q.turnedLate[:0]
	return all
}

// Waiting returns the counts by pool and rank.
func (q *Queue) Waiting() map[string][Ranks]Counts {
	all := make(map[string][Ranks]Counts, len(q.pools))
	for name, counts := range q.pools {
		all[name] = *counts
	}
	return all
}

// Push adds an entry. It is offered at the next [Queue.Serve], unless entries of its group
// that go before it can't be placed.
func (q *Queue) Push(now time.Time, e Entry) {
	e.Rank = min(max(e.Rank, 0), Ranks-1)
	e.Tokens = max(e.Tokens, 1)
	q.countArrival(now, e.Rank)
	rank := &q.ranks[e.Rank]
	c, ok := rank.counters[e.Workspace]
	if !ok {
		rank.trim()
		c = &counter{name: e.Workspace}
		rank.counters[e.Workspace] = c
	}
	if c.waiting == 0 {
		c.used = max(c.used, rank.virtualTime)
	}
	c.waiting++
	q.seq++
	it := &item{Entry: e, seq: q.seq}
	q.items[e.ID] = it
	rank.waiting++
	g := q.group(e)
	g.counts[e.Rank].Requests++
	g.counts[e.Rank].Tokens += e.Tokens
	g.length++
	it.group = g
	g.lanes[e.Rank].onTime.add(c, it)
	if now.After(e.StartBy) {
		g.lanes[e.Rank].moveLate(it.flow, now)
	}
}

// countArrival adds an arrival to the ranks' shares.
func (q *Queue) countArrival(now time.Time, rank int) {
	if passed := now.Sub(q.arrivedAt); passed > 0 {
		factor := math.Exp(-float64(passed) / float64(arrivalMemory))
		q.arrivals *= factor
		for r := range q.ranks {
			q.ranks[r].arrivals *= factor
		}
		q.arrivedAt = now
	}
	q.arrivals++
	q.ranks[rank].arrivals++
}

func (q *Queue) group(e Entry) *group {
	g, ok := q.groups[e.Group]
	if !ok {
		counts, ok := q.pools[e.Pool]
		if !ok {
			counts = &[Ranks]Counts{}
			q.pools[e.Pool] = counts
		}
		g = &group{queue: q, name: e.Group, pool: e.Pool, narrowed: e.Narrowed, counts: counts, blocked: Ranks}
		q.groups[e.Group] = g
		q.order = append(q.order, g)
	}
	return g
}

// Remove removes an entry without charging its workspace. It reports whether the entry
// was in the queue.
func (q *Queue) Remove(id uint64) bool {
	it, ok := q.items[id]
	if ok {
		q.remove(it)
	}
	return ok
}

func (q *Queue) remove(it *item) {
	delete(q.items, it.ID)
	q.ranks[it.Rank].waiting--
	it.flow.counter.waiting--
	g := it.group
	counts := &g.counts[it.Rank]
	counts.Requests--
	counts.Tokens -= it.Tokens
	if it.late {
		counts.LateTokens -= it.Tokens
	}
	if *g.counts == ([Ranks]Counts{}) {
		delete(q.pools, g.pool)
	}
	g.lanes[it.Rank].class(it.late).remove(it)
	g.length--
	if g.length > 0 {
		return
	}
	delete(q.groups, g.name)
	for i, other := range q.order {
		if other == g {
			q.order = append(q.order[:i], q.order[i+1:]...)
			break
		}
	}
}

// Wake makes entries that couldn't be placed be offered again, since capacity may have
// become available.
func (q *Queue) Wake() {
	for _, g := range q.order {
		g.blocked = Ranks
	}
}

// Serve offers entries in order until none is left that could be placed. An entry that
// can't be placed holds up only those of its group.
func (q *Queue) Serve(now time.Time, place func(Entry) Outcome) {
	for {
		it, g := q.next(now)
		if it == nil {
			return
		}
		switch place(it.Entry) {
		case Blocked:
			g.blocked, g.size = it.Rank, it.Tokens
		case Placed:
			q.charge(now, it)
			q.remove(it)
		case Ended:
			q.remove(it)
		}
	}
}

// next returns the entry to offer: of the ranks in order, those before the others that
// have credit.
func (q *Queue) next(now time.Time) (*item, *group) {
	for r := range q.ranks {
		if q.ranks[r].credit >= 1 {
			if it, g := q.nextOf(now, r); it != nil {
				return it, g
			}
		}
	}
	for r := range q.ranks {
		if it, g := q.nextOf(now, r); it != nil {
			return it, g
		}
	}
	return nil, nil
}

// nextOf returns the entry of a rank to offer: of those that can be on time, or else of the
// late ones, that of the workspace that has used the least. Late ones go first at every
// lateEvery-th place.
func (q *Queue) nextOf(now time.Time, r int) (*item, *group) {
	rank := &q.ranks[r]
	if rank.waiting == 0 {
		return nil, nil
	}
	if rank.placed%lateEvery == lateEvery-1 {
		if it, g := q.firstOf(now, r, true); it != nil {
			return it, g
		}
	}
	if it, g := q.firstOf(now, r, false); it != nil {
		return it, g
	}
	return q.firstOf(now, r, true)
}

func (q *Queue) firstOf(now time.Time, r int, late bool) (*item, *group) {
	var best *flow
	var of *group
	for _, g := range q.order {
		if g.blocked <= r || q.reserved(now, g, r) {
			continue
		}
		if f := g.lanes[r].first(now, late); f != nil && (best == nil || f.before(best)) {
			best, of = f, g
		}
	}
	if best == nil {
		return nil, nil
	}
	return best.items[0], of
}

// reserved reports whether a rank of a group must wait for a larger entry of its pool.
func (q *Queue) reserved(now time.Time, g *group, r int) bool {
	for _, other := range q.order {
		if other != g && other.pool == g.pool && other.blocked <= r && now.Before(other.reservedUntil) {
			return true
		}
	}
	return false
}

// charge charges an entry that is placed to its workspace and rank.
func (q *Queue) charge(now time.Time, it *item) {
	rank := &q.ranks[it.Rank]
	c := it.flow.counter
	rank.virtualTime = max(rank.virtualTime, c.used)
	c.used += float64(it.Tokens)
	rank.placed++
	rank.credit = max(rank.credit-1, 0)
	for r := it.Rank + 1; r < Ranks; r++ {
		if lower := &q.ranks[r]; lower.waiting > 0 {
			lower.credit = min(lower.credit+shareOfArrivals*lower.arrivals/q.arrivals, maxCredit)
		}
	}
	it.group.passed, it.group.reservedUntil = 0, time.Time{}
	for _, g := range q.order {
		if g == it.group || g.narrowed || g.pool != it.Pool || g.blocked > it.Rank || g.size <= it.Tokens {
			continue
		}
		if g.passed++; g.passed >= maxPassed {
			g.passed, g.reservedUntil = 0, now.Add(reserveTime)
		}
	}
}

// Expire removes the entries whose deadline is before the given time and returns them.
func (q *Queue) Expire(before time.Time) []Entry {
	var all []Entry
	for _, it := range q.items {
		if it.Deadline.Before(before) {
			all = append(all, it.Entry)
			q.remove(it)
		}
	}
	return all
}

// trim drops the counters of workspaces that have nothing waiting and no debt.
func (s *rankState) trim() {
	if len(s.counters) < max(s.trimAt, minCounters) {
		return
	}
	for name, c := range s.counters {
		if c.waiting == 0 && c.used <= s.virtualTime {
			delete(s.counters, name)
		}
	}
	s.trimAt = 2 * len(s.counters)
}
