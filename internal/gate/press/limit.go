package press

import (
	"math"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/queue"
)

const (
	// limitInterval is the interval between changes of a limit, that of the reports.
	limitInterval = 150 * time.Millisecond
	// tolerableWaitShare is the share of their objective that urgent requests may wait on
	// average before less urgent ones are limited. Most of them don't wait at all, so that
	// those that do wait for several times as long. With a fortieth, the lower ranks lose
	// more than the others gain.
	tolerableWaitShare = 1.0 / 10
	// limitDecrease is the part by which a limit is lowered for each time that the wait
	// exceeds the tolerable one, up to maxExcess times. limitIncrease is the part of all
	// started work by which it is raised otherwise. Both are small, since their effect is
	// seen only two or three changes later.
	limitDecrease = 0.05
	maxExcess     = 3
	limitIncrease = 0.03
	// limitGrowth is the factor by which the increase grows with each one in a row, so that
	// a limit is gone a second after urgent requests wait no longer.
	limitGrowth = 1.25
	// balanceTime is the time for which unused work below the limit may be saved up. It
	// is longer than the interval at which waiting requests are offered again.
	balanceTime = 100 * time.Millisecond
)

// limit bounds the work of a rank that all nodes together start, so that free slots are
// left for more urgent requests. Without it, nodes that learn of free slots late find them
// taken by less urgent requests of other nodes.
type limit struct {
	// perSecond is the bound for all nodes together; zero if there is none.
	perSecond float64
	// balance is the work that this node may start now. It may start work that exceeds
	// the balance if that is not negative.
	balance float64
	// increase is the part of all started work by which the limit is raised next.
	increase              float64
	balancedAt, updatedAt time.Time
}

// Yields reports whether a request that a target would take waits nevertheless, to leave
// the slot to a more urgent one.
func (g *Gate) Yields(now time.Time, name string, rank int) bool {
	rank = clamp(rank)
	p, ok := g.pools[name]
	if !ok || rank == 0 {
		return false
	}
	l := &p.limits[rank]
	passed := now.Sub(l.updatedAt)
	if passed > 0 && (l.perSecond > 0 || passed >= limitInterval) {
		p.updateLimit(now, rank)
	}
	return l.perSecond > 0 && l.balance < 0
}

func (p *pool) updateLimit(now time.Time, rank int) {
	l := &p.limits[rank]
	own := p.current(now)
	sum := own.plus(p.peers)
	if l.perSecond > 0 {
		perSecond := l.perSecond * part(own[rank], sum[rank])
		l.balance = min(l.balance+perSecond*now.Sub(l.balancedAt).Seconds(), perSecond*balanceTime.Seconds())
	}
	l.balancedAt = now
	if now.Sub(l.updatedAt) < limitInterval {
		return
	}
	l.updatedAt = now
	started, offered := 0, 0
	for _, f := range sum {
		started += f.Started
		offered += f.Arrived
	}
	excess := p.excess(sum, rank)
	switch {
	case excess > 0:
		if l.perSecond == 0 {
			l.balance = 0
		}
		present := float64(sum[rank].Started) / milli
		if l.perSecond > 0 {
			present = min(present, l.perSecond)
		}
		share := max(shareOfArrivals*float64(sum[rank].Arrived)/float64(max(offered, 1)), minShare)
		l.increase = limitIncrease
		l.perSecond = max(present*(1-limitDecrease*min(excess, maxExcess)), share*float64(started)/milli, 1)
	case l.perSecond > 0:
		l.perSecond += l.increase * float64(started) / milli
		l.increase *= limitGrowth
		if l.perSecond > float64(started)/milli {
			l.perSecond = 0
		}
	}
}

// part returns this node's part of the work of a rank, by what waits and arrives.
func part(own, sum Figures) float64 {
	work := func(f Figures) float64 {
		return float64(f.Work) + float64(f.Arrived)/milli*rateMemory.Seconds()
	}
	return math.Min(1, max(work(own), 1)/max(work(sum), 1))
}

// excess returns by how many times the longest mean wait of the more urgent ranks exceeds
// the tolerable one; zero or less if it doesn't.
func (p *pool) excess(sum ranks, rank int) float64 {
	worst := -1.0
	for r := range min(rank, queue.Ranks) {
		f := sum[r]
		if f.Requests <= 0 || p.objectives[r] <= 0 {
			continue
		}
		wait := duration(float64(f.Work), float64(f.Started))
		worst = max(worst, float64(wait)/(tolerableWaitShare*float64(p.objectives[r]))-1)
	}
	return worst
}
