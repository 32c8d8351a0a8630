package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cicadamill/cicadamill/internal/peer/note"
)

// merge takes another node's word about a node.
func (t *turn) merge(e note.Entry, from string) {
	if e.Name == "" || note.Rank(e.State) == 0 {
		return
	}
	if e.Name == t.self.Name {
		t.refute(e)
		return
	}
	p, ok := t.members[e.Name]
	if !ok {
		t.admit(e)
		return
	}
	t.versioned(e.Name, e.Version)
	if !newer(e, p.entry) {
		t.confirm(p, e, from)
		return
	}
	if e.State == note.Dead && t.hasContact(p, e) {
		t.count(CountDoubtedDeath)
		t.tell(p, e)
		return
	}
	t.replace(p, e)
}

// hasContact reports whether a node has itself answered lately under the
// incarnation that is reported, or a later one.
func (t *turn) hasContact(p *peer, e note.Entry) bool {
	return p.entry.Incarnation >= e.Incarnation && t.now.Sub(p.contact) < contactGrace
}

// tell lets a node know what is said of it, so that it can refute at once.
func (t *turn) tell(p *peer, e note.Entry) {
	n := t.compose(p.entry.Name, false, false)
	n.Entries = append([]note.Entry{e}, n.Entries...)
	t.do(Exchange{Name: p.entry.Name, Address: p.entry.Address, Note: n})
}

// refute answers doubt about this node with a higher incarnation.
func (t *turn) refute(e note.Entry) {
	doubt := e.Incarnation == t.self.Incarnation && note.Rank(e.State) > note.Rank(t.self.State)
	if e.Incarnation <= t.self.Incarnation && !doubt {
		return
	}
	t.self.Incarnation = e.Incarnation + 1
	t.count(CountRefuted)
	t.spreadSelf()
}

func (t *turn) admit(e note.Entry) {
	if len(t.members) >= maxMembers && !t.evict() {
		t.count(CountDropped)
		return
	}
	p := &peer{entry: e, changed: t.now}
	t.members[e.Name] = p
	at, _ := slices.BinarySearchFunc(t.order, e.Name, byName)
	t.order = slices.Insert(t.order, at, p)
	t.recount(p)
	if e.State == note.Suspect {
		t.suspectedBy(p, e.By)
	}
	t.insert(e.Name)
	t.spreadEntry(p, false)
}

// insert puts a new node at a random place of the probing order, so that it is
// not the next for every node that hears of it.
func (t *turn) insert(name string) {
	at := t.random.IntN(len(t.ring) + 1)
	t.ring = slices.Insert(slices.Clone(t.ring), at, name)
}

// evict gives up the node that has been dead for longest.
func (t *turn) evict() bool {
	oldest := ""
	for name, p := range t.members {
		if p.entry.State != note.Dead {
			continue
		}
		if oldest == "" || p.changed.Before(t.members[oldest].changed) || (p.changed.Equal(t.members[oldest].changed) && name < oldest) {
			oldest = name
		}
	}
	t.forget(oldest)
	return oldest != ""
}

func (t *turn) forget(name string) {
	p, ok := t.members[name]
	if !ok {
		return
	}
	p.entry.State = note.Dead
	t.recount(p)
	delete(t.members, name)
	t.order = slices.DeleteFunc(t.order, func(q *peer) bool { return q == p })
}

func byName(p *peer, name string) int { return strings.Compare(p.entry.Name, name) }

// versioned takes word of a node's applied configuration.
func (t *turn) versioned(name string, version uint64) {
	p, ok := t.members[name]
	if !ok || p.entry.Version >= version {
		return
	}
	p.entry.Version = version
	t.spread(item{name: name, version: version}, "v:"+name)
}

// newer reports whether an entry overrides another.
func newer(e, have note.Entry) bool {
	if e.Incarnation != have.Incarnation {
		return e.Incarnation > have.Incarnation
	}
	return note.Rank(e.State) > note.Rank(have.State)
}

func (t *turn) replace(p *peer, e note.Entry) {
	old := p.entry
	p.entry = e
	p.entry.Version = max(e.Version, old.Version)
	t.recount(p)
	p.changed = t.now
	switch {
	case e.State == note.Suspect:
		t.suspectedBy(p, e.By)
	case e.State == note.Dead:
		t.unsuspect(p)
	default:
		t.revived(p, old)
	}
	t.spreadEntry(p, e.State == note.Leaving || old.State == note.Dead || old.State == note.Suspect && e.State == note.Alive)
}

// revived ends a suspicion or a death. Each refuted suspicion makes the next
// one slower.
func (t *turn) revived(p *peer, old note.Entry) {
	switch old.State {
	case note.Suspect:
		p.flaps = min(maxFlaps, p.flapLevel(t.now)+1)
		p.flapped = t.now
	case note.Dead:
		t.count(CountReturned)
		t.insert(p.entry.Name)
	}
	t.unsuspect(p)
}

func (t *turn) unsuspect(p *peer) {
	p.suspected = time.Time{}
	p.confirmers = nil
}

// confirm takes a second suspicion of the same incarnation from another node.
func (t *turn) confirm(p *peer, e note.Entry, from string) {
	same := e.State == note.Suspect && p.entry.State == note.Suspect && e.Incarnation == p.entry.Incarnation
	if !same || e.By == "" || from == "" || len(p.confirmers) > maxConfirmers || slices.Contains(p.confirmers, e.By) {
		return
	}
	p.confirmers = append(p.confirmers, e.By)
	t.spread(item{entry: &e}, "m:"+e.Name+"/"+e.By)
}

func (t *turn) suspectedBy(p *peer, by string) {
	p.suspected = t.now
	p.confirmers = []string{by}
}
