package member

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/peer/note"
)

func (t *turn) tick() {
	if !t.last.IsZero() && t.now.Sub(t.last) > stallAfter {
		t.stalled(t.now.Sub(t.last))
	}
	t.allowance = min(maxAllowance, t.allowance+entriesPerSec*t.elapsed().Seconds())
	t.bursts = min(maxBursts, t.bursts+burstsPerSecond*t.elapsed().Seconds())
	t.last = t.now
	t.expireProbes()
	t.announceVersion()
	if t.now.Before(t.next) {
		return
	}
	t.expire()
	t.next = t.now.Add(exchangeInterval - exchangeJitter/2 + time.Duration(t.random.Int64N(int64(exchangeJitter))))
	t.exchange()
}

func (t *turn) elapsed() time.Duration {
	if t.last.IsZero() {
		return 0
	}
	return t.now.Sub(t.last)
}

// stalled excuses everyone for a time in which this process itself did not run.
func (t *turn) stalled(gap time.Duration) {
	t.count(CountStalled)
	clear(t.probes)
	for _, p := range t.members {
		if !p.suspected.IsZero() {
			p.suspected = p.suspected.Add(gap)
		}
	}
}

func (t *turn) expire() {
	var forgotten []string
	for _, p := range t.order {
		t.renew(p)
		if !p.suspected.IsZero() && t.now.Sub(p.suspected) >= t.patience(p) {
			t.declareDead(p)
		}
		if p.entry.State == note.Dead && !p.listed && t.now.Sub(p.changed) > deadRetention {
			forgotten = append(forgotten, p.entry.Name)
		}
	}
	for _, name := range forgotten {
		t.forget(name)
	}
	for fingerprint, c := range t.crashes {
		if t.now.Sub(c.at) >= crashLifetime {
			delete(t.crashes, fingerprint)
		}
	}
	t.marks.Expire(t.now)
}

func (t *turn) expireProbes() {
	for _, name := range slices.Sorted(maps.Keys(t.probes)) {
		if t.now.Before(t.probes[name]) {
			continue
		}
		delete(t.probes, name)
		if p, ok := t.members[name]; ok {
			t.suspect(p)
		}
	}
}

// suspect begins a suspicion of this node's own, or confirms another's. A
// leaving node keeps its state; it is only given up in the end.
func (t *turn) suspect(p *peer) {
	switch p.entry.State {
	case note.Alive:
		t.count(CountSuspected)
		p.entry.State, p.entry.By = note.Suspect, t.self.Name
		p.changed = t.now
		t.suspectedBy(p, t.self.Name)
		t.spreadEntry(p, false)
	case note.Suspect:
		e := p.entry
		e.By = t.self.Name
		t.confirm(p, e, t.self.Name)
	case note.Leaving:
		if p.suspected.IsZero() {
			t.suspectedBy(p, t.self.Name)
		}
	}
}

func (t *turn) declareDead(p *peer) {
	t.count(CountDead)
	p.entry.State, p.entry.By = note.Dead, t.self.Name
	p.changed = t.now
	t.unsuspect(p)
	t.recount(p)
	t.spreadEntry(p, false)
}

// renew gives a suspect that has shown itself here the whole time again, in which
// it refutes what it was told then.
func (t *turn) renew(p *peer) {
	if !p.suspected.IsZero() && p.contact.After(p.suspected) {
		p.suspected = p.contact
	}
}

// exchange talks to the next node in a shuffled order, so that each is tried
// within a bounded time. Now and then it tries one that is thought dead, so
// that parts of a fleet find each other again.
func (t *turn) exchange() {
	t.turns++
	if t.joining {
		t.join()
		return
	}
	if t.turns%healEvery == 0 && t.heal() {
		return
	}
	for range 2 {
		for len(t.ring) > 0 {
			name := t.ring[0]
			t.ring = t.ring[1:]
			if p, ok := t.members[name]; ok && p.entry.State != note.Dead {
				t.send(name, p.entry.Address, false)
				return
			}
		}
		t.shuffle()
	}
	t.heal()
}

func (t *turn) shuffle() {
	t.ring = make([]string, 0, len(t.order))
	for _, p := range t.order {
		t.ring = append(t.ring, p.entry.Name)
	}
	t.random.Shuffle(len(t.ring), func(i, j int) { t.ring[i], t.ring[j] = t.ring[j], t.ring[i] })
}

// join tries several ways into the fleet at once, for a bounded time.
func (t *turn) join() {
	t.tries++
	if t.tries > joinTries {
		t.joining = false
	}
	for _, p := range t.sample(burstFanOut, "") {
		t.send(p.entry.Name, p.entry.Address, false)
	}
	for _, address := range t.strangers(burstFanOut) {
		t.send("", address, false)
	}
}

// heal tries a node that is thought dead or an address that no node has.
func (t *turn) heal() bool {
	var dead []*peer
	for _, p := range t.order {
		if p.entry.State == note.Dead {
			dead = append(dead, p)
		}
	}
	strangers := t.strangers(1)
	if len(dead)+len(strangers) == 0 {
		return false
	}
	at := t.random.IntN(len(dead) + len(strangers))
	if at < len(dead) {
		t.send(dead[at].entry.Name, dead[at].entry.Address, false)
		return true
	}
	t.send("", strangers[at-len(dead)], false)
	return true
}

// strangers returns addresses from the settings that belong to no known node.
func (t *turn) strangers(count int) []string {
	var unknown []string
	for _, address := range t.peers {
		if address != t.self.Address && !t.knowsAddress(address) {
			unknown = append(unknown, address)
		}
	}
	t.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	return unknown[:min(count, len(unknown))]
}

func (t *turn) knowsAddress(address string) bool {
	for _, p := range t.members {
		if p.entry.Address == address {
			return true
		}
	}
	return false
}

// sample returns random nodes that are not thought dead.
func (t *turn) sample(count int, except string) []*peer {
	var picked []*peer
	if len(t.order) == 0 {
		return nil
	}
	at := 0
	for range 2 * len(t.order) {
		at = (at + 1 + t.random.IntN(len(t.order))) % len(t.order)
		p := t.order[at]
		if p.entry.Name != except && p.entry.State != note.Dead && !slices.Contains(picked, p) {
			picked = append(picked, p)
		}
		if len(picked) == count {
			break
		}
	}
	return picked
}

func (t *turn) send(name, address string, asked bool) {
	t.do(Exchange{Name: name, Address: address, Asked: asked, Note: t.compose(name, false, t.differs)})
}

// burst sends urgent news to a few nodes at once, at a bounded rate.
func (t *turn) burst() {
	if !t.urgent || t.bursts < 1 || len(t.members) == 0 {
		return
	}
	t.urgent = false
	t.bursts--
	for _, p := range t.sample(burstFanOut, "") {
		t.send(p.entry.Name, p.entry.Address, false)
	}
}

// lost asks other nodes before it suspects one.
func (t *turn) lost(m Lost) {
	p, ok := t.members[m.Name]
	if !ok || p.entry.State == note.Dead {
		return
	}
	if m.Asked {
		if p.entry.State == note.Suspect {
			t.suspect(p)
		}
		return
	}
	if _, probing := t.probes[m.Name]; probing {
		return
	}
	t.probes[m.Name] = t.now.Add(probeWait)
	for _, via := range t.sample(probeFanOut, m.Name) {
		t.do(Ask{Address: via.entry.Address, Name: m.Name, Target: p.entry.Address})
	}
}

func (t *turn) vouched(m Vouched) {
	if _, probing := t.probes[m.Name]; !probing || !m.Reached {
		return
	}
	delete(t.probes, m.Name)
	t.count(CountVouched)
}

// doubted tries a node that some other work could not reach.
func (t *turn) doubted(name string) {
	p, ok := t.members[name]
	if _, probing := t.probes[name]; !ok || probing || p.entry.State != note.Alive {
		return
	}
	t.send(name, p.entry.Address, false)
}

// listed takes the platform's list. It adds nodes; it never removes one that
// answers, since the list lags.
func (t *turn) listed(m Listed) {
	for _, p := range t.members {
		p.listed, p.listedLeaving = false, false
	}
	for _, h := range m.Nodes {
		t.listedNode(h)
	}
	for _, added := range t.marks.List(t.now, m.LeavingTargets) {
		added := added
		t.spread(item{mark: &added, urgent: true}, "t:"+added.Target+"/"+added.Incarnation)
	}
}

func (t *turn) listedNode(h Host) {
	if h.Name == t.self.Name || h.Name == "" || h.Address == "" {
		return
	}
	if _, ok := t.members[h.Name]; !ok {
		t.admit(note.Entry{Name: h.Name, Address: h.Address, DataCentre: h.DataCentre, State: note.Alive})
	}
	p, ok := t.members[h.Name]
	if !ok {
		return // The bound is reached.
	}
	p.listed, p.listedLeaving = true, h.Leaving
	if p.entry.Incarnation == 0 {
		p.entry.Address, p.entry.DataCentre = h.Address, h.DataCentre
	}
}
