package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cicadamill/cicadamill/internal/peer/note"
)

// mergeEntry merges an entry that the node named from sent.
func (t *transition) mergeEntry(e note.Entry, from string) {
	if e.Name == "" || note.Precedence(e.State) == 0 {
		return
	}
	if e.Name == t.self.Name {
		t.refute(e)
		return
	}
	p, ok := t.members[e.Name]
	if !ok {
		t.addPeer(e)
		return
	}
	t.mergeVersion(e.Name, e.Version)
	if !overrides(e, p.entry) {
		t.confirmSuspicion(p, e, from)
		return
	}
	if e.State == note.Dead && t.answeredRecently(p, e) {
		t.count(CountDoubtedDeath)
		t.forwardReport(p, e)
		return
	}
	t.replaceEntry(p, e)
}

// answeredRecently reports whether a node has been in contact lately, under
// the reported incarnation or a later one.
func (t *transition) answeredRecently(p *peer, e note.Entry) bool {
	return p.entry.Incarnation >= e.Incarnation && t.now.Sub(p.lastContact) < contactGrace
}

// forwardReport sends a node the report about itself, so that it can refute it
// at once.
func (t *transition) forwardReport(p *peer, e note.Entry) {
	n := t.composeNote(p.entry.Name, false, false)
	n.Entries = append([]note.Entry{e}, n.Entries...)
	t.emit(Exchange{Name: p.entry.Name, Address: p.entry.Address, Note: n})
}

// refute raises this node's incarnation above a report that it is suspect or
// dead, or that has a higher incarnation.
func (t *transition) refute(e note.Entry) {
	contradicts := e.Incarnation == t.self.Incarnation && note.Precedence(e.State) > note.Precedence(t.self.State)
	if e.Incarnation <= t.self.Incarnation && !contradicts {
		return
	}
	t.self.Incarnation = e.Incarnation + 1
	t.count(CountRefuted)
	t.enqueueSelf()
}

func (t *transition) addPeer(e note.Entry) {
	if len(t.members) >= maxMembers && !t.evict() {
		t.count(CountDropped)
		return
	}
	p := &peer{entry: e, changedAt: t.now}
	t.members[e.Name] = p
	at, _ := slices.BinarySearchFunc(t.sorted, e.Name, byName)
	t.sorted = slices.Insert(t.sorted, at, p)
	t.refreshPeer(p)
	if e.State == note.Suspect {
		t.startSuspicion(p, e.ReportedBy)
	}
	t.insertProbe(e.Name)
	t.enqueueEntry(p, false)
}

// insertProbe inserts a node at a random position of the probe order, so that
// not every node that learns of it contacts it next.
func (t *transition) insertProbe(name string) {
	at := t.random.IntN(len(t.probeOrder) + 1)
	t.probeOrder = slices.Insert(slices.Clone(t.probeOrder), at, name)
}

// evict removes the node that has been dead for longest, and reports whether
// there was one.
func (t *transition) evict() bool {
	oldest := ""
	for name, p := range t.members {
		if p.entry.State != note.Dead {
			continue
		}
		if oldest == "" || p.changedAt.Before(t.members[oldest].changedAt) || (p.changedAt.Equal(t.members[oldest].changedAt) && name < oldest) {
			oldest = name
		}
	}
	t.removePeer(oldest)
	return oldest != ""
}

func (t *transition) removePeer(name string) {
	p, ok := t.members[name]
	if !ok {
		return
	}
	p.entry.State = note.Dead
	t.refreshPeer(p)
	delete(t.members, name)
	t.sorted = slices.DeleteFunc(t.sorted, func(q *peer) bool { return q == p })
}

func byName(p *peer, name string) int { return strings.Compare(p.entry.Name, name) }

// mergeVersion records the configuration that a node has in force, if it is
// newer than the one known.
func (t *transition) mergeVersion(name string, version uint64) {
	p, ok := t.members[name]
	if !ok || p.entry.Version >= version {
		return
	}
	p.entry.Version = version
	t.enqueue(update{name: name, version: version}, "v:"+name)
}

// overrides reports whether entry e takes precedence over the one already
// known.
func overrides(e, have note.Entry) bool {
	if e.Incarnation != have.Incarnation {
		return e.Incarnation > have.Incarnation
	}
	return note.Precedence(e.State) > note.Precedence(have.State)
}

func (t *transition) replaceEntry(p *peer, e note.Entry) {
	old := p.entry
	p.entry = e
	p.entry.Version = max(e.Version, old.Version)
	t.refreshPeer(p)
	p.changedAt = t.now
	switch {
	case e.State == note.Suspect:
		t.startSuspicion(p, e.ReportedBy)
	case e.State == note.Dead:
		t.clearSuspicion(p)
	default:
		t.recordRecovery(p, old)
	}
	if e.State == note.Leaving {
		t.emit(NodeLeaving{Name: e.Name})
	}
	t.enqueueEntry(p, e.State == note.Leaving || old.State == note.Dead || old.State == note.Suspect && e.State == note.Alive)
}

// recordRecovery ends a suspicion or a death. A refuted suspicion counts as a
// flap, which prolongs the next suspicion.
func (t *transition) recordRecovery(p *peer, old note.Entry) {
	switch old.State {
	case note.Suspect:
		p.flapCount = min(maxFlaps, p.decayedFlaps(t.now)+1)
		p.flapCountAt = t.now
	case note.Dead:
		t.count(CountReturned)
		t.insertProbe(p.entry.Name)
	}
	t.clearSuspicion(p)
}

func (t *transition) clearSuspicion(p *peer) {
	p.suspectedAt = time.Time{}
	p.confirmers = nil
}

// confirmSuspicion records that another node suspects the same incarnation.
func (t *transition) confirmSuspicion(p *peer, e note.Entry, from string) {
	same := e.State == note.Suspect && p.entry.State == note.Suspect && e.Incarnation == p.entry.Incarnation
	if !same || e.ReportedBy == "" || from == "" || len(p.confirmers) > maxConfirmers || slices.Contains(p.confirmers, e.ReportedBy) {
		return
	}
	p.confirmers = append(p.confirmers, e.ReportedBy)
	t.enqueue(update{entry: &e}, "m:"+e.Name+"/"+e.ReportedBy)
}

func (t *transition) startSuspicion(p *peer, by string) {
	p.suspectedAt = t.now
	p.confirmers = []string{by}
}
