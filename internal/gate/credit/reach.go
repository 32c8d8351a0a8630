package credit

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/oplog"
)

// members counts the nodes that reports cover.
type members struct {
	// counted is the number of nodes that may be running, as far as known otherwise.
	counted int
	// gone is how many of them are known to have ended.
	gone  int
	peers map[string]peerNodes
	// most is the largest number of nodes that reports covered, lately; last the one in
	// the present period, which began at lastAt, before the one in the period before.
	last, before int
	lastAt       time.Time
}

// peerNodes is the number of nodes that a node's last report covers.
type peerNodes struct {
	nodes int
	at    time.Time
	// known is true when the node knows the use of a whole window.
	known bool
	// gone is how many nodes the node knows to have ended.
	gone  int
	child bool
}

func (m *members) set(from oplog.Origin, r Report, now time.Time) {
	m.peers[from.Node] = peerNodes{nodes: max(r.Nodes, 1), at: now, known: r.Known, gone: r.Gone, child: from.Child}
}

// covered returns the number of nodes that reports cover, this one included.
func (m *members) covered() int {
	sum := 1
	for _, p := range m.peers {
		sum += p.nodes
	}
	return sum
}

// nodesFor returns the number of nodes that a report to a recipient covers.
func (m *members) nodesFor(to oplog.Recipient) int {
	sum := 1
	for name, p := range m.peers {
		if to.Child && name != to.Node || !to.Child && p.child {
			sum += p.nodes
		}
	}
	return sum
}

// count returns the number of nodes that may be running: the largest that reports
// covered in the last while. A node that has just started may not know the others.
func (m *members) count(now, startedAt time.Time) int {
	covered := m.covered()
	if now.Sub(m.lastAt) >= memory {
		m.before, m.last, m.lastAt = m.last, covered, now
	}
	m.last = max(m.last, covered)
	most := max(max(m.last, m.before)-m.goneNodes(), covered)
	if now.Sub(startedAt) < memory {
		most = max(most, m.counted)
	}
	if now.Sub(startedAt) < startTime {
		most = max(most, startNodes)
	}
	return most
}

// goneNodes returns how many of the counted nodes are known to have ended.
func (m *members) goneNodes() int {
	most := m.gone
	for _, p := range m.peers {
		if !p.child {
			most = max(most, p.gone)
		}
	}
	return most
}

// age returns the age of the oldest report.
func (m *members) age(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, p := range m.peers {
		oldest = max(oldest, now.Sub(p.at))
	}
	return oldest
}

// isLeaf reports whether this node knows the use of others only from a parent.
func (m *members) isLeaf() bool {
	parent := false
	for _, p := range m.peers {
		if p.child {
			return false
		}
		parent = parent || p.nodes > 1
	}
	return parent
}

// known reports whether a node has reported that it knows the use of a whole window.
func (m *members) known() bool {
	for _, p := range m.peers {
		if p.known {
			return true
		}
	}
	return false
}

// reach is the part of a limit that is divided among the nodes that reports cover. The
// nodes that are missing have the rest.
type reach struct {
	known bool
	part  float64
	// covered and used are the number of nodes covered and their use when the part was last
	// computed.
	covered int
	used    float64
	// guessed is true if the node didn't know the use when nodes went missing. The part is
	// then a small one, in proportion to the number of nodes.
	guessed bool
}

// tell sets the part that another node knows of the same nodes, if it is lower.
func (r *reach) tell(part float64) {
	if r.guessed || part < r.part {
		r.part, r.guessed = part, false
	}
}

// update computes the part anew when the number of nodes has changed. When nodes go
// missing they take their part of the use with them, and return with it. It returns by how much the use of the nodes covered has
// fallen with their number, or grown with it.
func (r *reach) update(covered, count int, used, allowed float64, ignorant bool) (fallen float64) {
	count = max(count, covered)
	if r.known && covered != r.covered {
		fallen = r.used - used
	}
	if covered > r.covered {
		fallen = min(fallen, 0)
	}
	switch {
	case covered == count:
		r.part, r.guessed = 1, false
	case !r.known:
		r.part = float64(covered) / float64(count)
	case covered < r.covered && ignorant && r.part == 1:
		r.part, r.guessed = floorReach*float64(covered)/float64(count), true
	case covered != r.covered && r.guessed:
		r.part = min(r.part*float64(covered)/float64(r.covered), 1)
	case covered != r.covered:
		// At least one request, so that a limit without use is divided by numbers.
		equal := max(floorReach*allowed, 1) / float64(count)
		changed := (used + equal*float64(covered)) / (r.used + equal*float64(r.covered))
		r.part = min(r.part*max(changed, 0), 1)
	}
	r.known, r.covered, r.used = true, covered, used
	return fallen
}

// lost is use of nodes that are silent. It counts until it has left the window.
type lost struct {
	amounts []lostAmount
}

type lostAmount struct {
	at     time.Time
	amount float64
}

// change adds use of nodes that have become silent, or removes what nodes report that
// are no longer.
func (l *lost) change(now time.Time, amount float64) {
	if amount > 0 {
		l.amounts = append(l.amounts, lostAmount{at: now, amount: amount})
	}
	for i := range l.amounts {
		if amount >= 0 {
			break
		}
		taken := min(l.amounts[i].amount, -amount)
		l.amounts[i].amount -= taken
		amount += taken
	}
}

// amount returns the use that is still in the window, as if it had been even.
func (l *lost) amount(now time.Time, window time.Duration) float64 {
	sum, kept := 0.0, l.amounts[:0]
	for _, a := range l.amounts {
		if left := window - now.Sub(a.at); left > 0 {
			kept = append(kept, a)
			sum += a.amount * left.Seconds() / window.Seconds()
		}
	}
	l.amounts = kept
	return sum
}
