package credit

import (
	"maps"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/oplog"
)

const (
	// noticeable is the change of a sum that is reported at once, as a part of it.
	noticeable = 0.02
	// repeatTime is how long a change is repeated in all messages: a message may be lost.
	repeatTime = 400 * time.Millisecond
	// refreshInterval is how often unchanged sums are reported, and refreshTime for how
	// long each time: longer than the interval between messages with its variation.
	refreshInterval = 800 * time.Millisecond
	refreshTime     = 200 * time.Millisecond
	// leafTime is how long after it lost its parent a node still doesn't know the use of
	// limits that it hasn't used itself.
	leafTime = 4 * time.Second
	// wholeReach is a whole limit in the unit of [Sum.Reach].
	wholeReach = 1000
	// quietInterval is the least time between reports of changes while a limit is not
	// scarce, sameTime that within which reports to several nodes are one.
	quietInterval = 300 * time.Millisecond
	sameTime      = 10 * time.Millisecond
	// closedInterval is how often a child gets a report that a limit is not open, closedAge how
	// long that holds: one message may be lost.
	closedInterval = 1200 * time.Millisecond
	closedAge      = 2800 * time.Millisecond
	// scarcePart is the part of what is allowed in a window from which on a limit is
	// scarce. Most workspaces use less.
	scarcePart = 0.6
)

// peerSum is the last sum that a node reported of a workspace.
type peerSum struct {
	sum   Sum
	at    time.Time
	child bool
	// sent is what was last reported to the node.
	sent *sent
}

// sent is when sums were last reported.
type sent struct{ at time.Time }

// Report returns the report for a recipient. A child gets the sums of all nodes but its
// own, of the workspaces that it reports itself; others get those of this node and its
// children.
func (t *Tracker) Report(now time.Time, to oplog.Recipient) Report {
	t.tick(now)
	t.expireNodes(now)
	r := Report{Nodes: t.members.nodesFor(to), Known: t.ran(now) || to.Child && t.members.known(), Gone: t.members.gone}
	if to.Child {
		r.Gone = t.members.goneNodes()
	}
	if !to.Child {
		t.addDue(now, &r, t.workspaces, to)
		return r
	}
	t.addDue(now, &r, t.reported[to.Node], to)
	// A child that doesn't use a limit may admit what comes unless a report says otherwise.
	for key, w := range t.scarce {
		if _, uses := w.peers[to.Node]; !uses && w.closed && (now.Sub(w.closedAt) <= repeatTime || t.inPhase(now, key, closedInterval)) {
			r.Closed = append(r.Closed, uint32(key))
		}
	}
	return r
}

// addDue adds the sums to a report that are due.
func (t *Tracker) addDue(now time.Time, r *Report, workspaces map[uint64]*workspace, to oplog.Recipient) {
	for key, w := range workspaces {
		t.note(now, key, w)
		last := &w.sent
		if to.Child {
			last = w.peers[to.Node].sent
		}
		if w.limit.Rate <= 0 || !t.due(now, key, w, last) {
			continue
		}
		next := t.sumFor(now, w, to)
		if next == (Sum{}) && !to.Child {
			continue
		}
		if r.Sums == nil {
			r.Sums = map[uint64]Sum{}
		}
		r.Sums[key] = next
	}
}

// sumFor returns the sum of a workspace for a recipient.
func (t *Tracker) sumFor(now time.Time, w *workspace, to oplog.Recipient) Sum {
	own := t.own(w)
	if !to.Child {
		sum := own.plus(w.childSum)
		sum.Lost = int(w.lost.amount(now, t.bound.Window))
		return sum
	}
	sum := own.plus(w.peerSum).minus(w.peers[to.Node].sum)
	sum.Lost = int(t.lost(now, w))
	if w.reach.known && w.reach.part < 1 {
		sum.Reach = max(int(w.reach.part*wholeReach), 1)
	}
	return sum
}

// note notes whether a workspace's sums have changed and whether its limit is scarce.
func (t *Tracker) note(now time.Time, key uint64, w *workspace) {
	t.advance(now, w)
	all := t.own(w).plus(w.peerSum)
	if differs(all.Used, w.reported.Used) || differs(all.Recent, w.reported.Recent) {
		w.changedAt, w.reported = now, all
	}
	part := 1.0
	if w.reach.known {
		part = w.reach.part
	}
	if w.limit.Rate <= 0 || float64(all.Used)+float64(all.Recent)*surge <= scarcePart*part*t.allowed(now, w) {
		delete(t.scarce, key)
		w.closed = false
		return
	}
	t.scarce[key] = w
	v := t.view(now, w)
	closed := v.used+v.others(w) > v.allowed
	if closed && !w.closed {
		w.closedAt = now
	}
	w.closed = closed
}

// due reports whether a workspace's sums are to be reported now: they have changed, or
// have not been reported for a while. While a limit is not scarce, a change soon after
// another one waits.
func (t *Tracker) due(now time.Time, key uint64, w *workspace, last *sent) bool {
	// Parts of limits are computed from the sums and the number of nodes together.
	changed := now.Sub(w.changedAt) <= repeatTime || now.Sub(t.heardAt) <= repeatTime
	if t.scarce[key] == nil && now.Sub(t.heardAt) > repeatTime {
		changed = now.Sub(last.at) < sameTime || w.changedAt.After(last.at) && now.Sub(last.at) >= quietInterval
	}
	if !changed && !t.inPhase(now, key, refreshInterval) {
		return false
	}
	if now.Sub(last.at) >= sameTime {
		last.at = now
	}
	return true
}

// inPhase reports whether sums are to be reported now that have not changed.
func (t *Tracker) inPhase(now time.Time, key uint64, interval time.Duration) bool {
	return (now.Sub(t.startedAt)+time.Duration(key%uint64(interval)))%interval < refreshTime
}

func differs(a, b int) bool {
	change := a - b
	return float64(max(change, -change)) > noticeable*float64(max(a, b))
}

// Apply applies another node's report.
func (t *Tracker) Apply(now time.Time, from oplog.Origin, r Report) {
	t.tick(now)
	for _, short := range r.Closed {
		t.closedNotices[short] = now
	}
	before := t.members.covered()
	t.members.set(from, r, now)
	for key, sum := range r.Sums {
		w := t.workspace(now, key)
		last := w.peers[from.Node].sent
		if last == nil {
			last = &sent{}
		}
		t.drop(key, w, from.Node)
		if t.reported[from.Node] == nil {
			t.reported[from.Node] = map[uint64]*workspace{}
		}
		t.reported[from.Node][key] = w
		w.toldAt = now
		w.peers[from.Node] = peerSum{sum: sum, at: now, child: from.Child, sent: last}
		w.peerSum = w.peerSum.plus(sum)
		if from.Child {
			w.childSum = w.childSum.plus(sum)
		} else if sum.Reach > 0 {
			w.reach.tell(float64(sum.Reach) / wholeReach)
		}
		t.note(now, key, w)
	}
	if t.members.covered() != before {
		t.heardAt = now
		t.updateReach(now)
	}
}

// updateReach computes the parts of all limits that are divided among the nodes that
// reports cover.
func (t *Tracker) updateReach(now time.Time) {
	count, covered := t.members.count(now, t.startedAt), t.members.covered()
	for _, w := range t.workspaces {
		used := float64(t.own(w).Used + w.peerSum.Used)
		w.lost.change(now, w.reach.update(covered, count, used, t.bound.planned(w.limit), t.ignorant(now, w)))
	}
}

// ignorant reports whether this node doesn't know the use of a limit by others: its
// parent reports only those that it uses itself, or reported until lately.
func (t *Tracker) ignorant(now time.Time, w *workspace) bool {
	if t.members.isLeaf() {
		t.leafAt = now
	}
	return t.ran(now) && !t.leafAt.IsZero() && now.Sub(t.leafAt) < leafTime && len(w.peers) == 0 && now.Sub(w.toldAt) > leafTime
}

// lost returns the use of silent nodes, as far as this node or others know of it.
func (t *Tracker) lost(now time.Time, w *workspace) float64 {
	most := w.lost.amount(now, t.bound.Window)
	for _, p := range w.peers {
		left := 1 - now.Sub(p.at).Seconds()/t.bound.Window.Seconds()
		if !p.child {
			most = max(most, float64(p.sum.Lost)*left)
		}
	}
	return most
}

// ran reports whether this node has run for a whole window.
func (t *Tracker) ran(now time.Time) bool { return now.Sub(t.startedAt) >= t.bound.Window }

// DropPeer removes the sums of a node that another node's reports include.
func (t *Tracker) DropPeer(node string) {
	delete(t.members.peers, node)
	for key, w := range t.reported[node] {
		t.drop(key, w, node)
	}
}

func (t *Tracker) drop(key uint64, w *workspace, node string) {
	delete(t.reported[node], key)
	old, ok := w.peers[node]
	if !ok {
		return
	}
	w.peerSum = w.peerSum.minus(old.sum)
	if old.child {
		w.childSum = w.childSum.minus(old.sum)
	}
	delete(w.peers, node)
}

// expireNodes drops the reports of nodes that are silent.
func (t *Tracker) expireNodes(now time.Time) {
	silent := false
	for node, p := range t.members.peers {
		if now.Sub(p.at) > maxReportAge {
			t.DropPeer(node)
			silent = true
		}
	}
	if silent {
		t.heardAt = now
		t.updateReach(now)
	}
}

// Expire forgets sums that are no longer reported, and workspaces that are not used.
func (t *Tracker) Expire(now time.Time) {
	t.tick(now)
	t.expireNodes(now)
	t.updateReach(now)
	maps.DeleteFunc(t.closedNotices, func(_ uint32, at time.Time) bool { return now.Sub(at) > closedAge })
	for key, w := range t.workspaces {
		for node, p := range w.peers {
			if now.Sub(p.at) > maxSumAge {
				t.drop(key, w, node)
			}
		}
		if now.Sub(w.activeAt) > idleTime && len(w.peers) == 0 {
			delete(t.workspaces, key)
			delete(t.scarce, key)
			continue
		}
		if w.limit.Rate > 0 {
			// The share falls while no request comes.
			t.advance(now, w)
			v := t.view(now, w)
			w.share.Set(now, v.rate(), v.depth())
		}
	}
}
