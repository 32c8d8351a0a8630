package member

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/peer/note"
)

func (t *transition) tick() {
	if !t.lastTick.IsZero() && t.now.Sub(t.lastTick) > stallThreshold {
		t.excuseStall(t.now.Sub(t.lastTick))
	}
	t.entryTokens = min(maxEntryTokens, t.entryTokens+entriesPerSecond*t.elapsed().Seconds())
	t.burstTokens = min(maxBurstTokens, t.burstTokens+burstsPerSecond*t.elapsed().Seconds())
	t.lastTick = t.now
	t.expireProbes()
	t.announceVersion()
	if t.now.Before(t.nextExchange) {
		return
	}
	t.expire()
	t.nextExchange = t.now.Add(exchangeInterval - exchangeJitter/2 + time.Duration(t.random.Int64N(int64(exchangeJitter))))
	t.startExchange()
}

func (t *transition) elapsed() time.Duration {
	if t.lastTick.IsZero() {
		return 0
	}
	return t.now.Sub(t.lastTick)
}

// excuseStall handles a pause of this process, in which it could receive
// nothing: it cancels the pending probes and extends the suspicions by the
// length of the pause.
func (t *transition) excuseStall(gap time.Duration) {
	t.count(CountStalled)
	clear(t.probeDeadlines)
	for _, p := range t.members {
		if !p.suspectedAt.IsZero() {
			p.suspectedAt = p.suspectedAt.Add(gap)
		}
	}
}

func (t *transition) expire() {
	var forgotten []string
	for _, p := range t.sorted {
		t.extendSuspicion(p)
		if !p.suspectedAt.IsZero() && t.now.Sub(p.suspectedAt) >= t.suspicionTimeout(p) {
			t.declareDead(p)
		}
		if p.entry.State == note.Dead && !p.listed && t.now.Sub(p.changedAt) > deadRetention {
			forgotten = append(forgotten, p.entry.Name)
		}
	}
	for _, name := range forgotten {
		t.removePeer(name)
	}
	for fingerprint, c := range t.crashes {
		if t.now.Sub(c.lastAt) >= crashLifetime {
			delete(t.crashes, fingerprint)
		}
	}
	t.marks.Expire(t.now)
}

func (t *transition) expireProbes() {
	for _, name := range slices.Sorted(maps.Keys(t.probeDeadlines)) {
		if t.now.Before(t.probeDeadlines[name]) {
			continue
		}
		delete(t.probeDeadlines, name)
		if p, ok := t.members[name]; ok {
			t.suspect(p)
		}
	}
}

// suspect starts a suspicion, or confirms that of another node. A leaving node
// keeps its state until it is declared dead.
func (t *transition) suspect(p *peer) {
	switch p.entry.State {
	case note.Alive:
		t.count(CountSuspected)
		p.entry.State, p.entry.ReportedBy = note.Suspect, t.self.Name
		p.changedAt = t.now
		t.startSuspicion(p, t.self.Name)
		t.enqueueEntry(p, false)
	case note.Suspect:
		e := p.entry
		e.ReportedBy = t.self.Name
		t.confirmSuspicion(p, e, t.self.Name)
	case note.Leaving:
		if p.suspectedAt.IsZero() {
			t.startSuspicion(p, t.self.Name)
		}
	}
}

func (t *transition) declareDead(p *peer) {
	t.count(CountDead)
	p.entry.State, p.entry.ReportedBy = note.Dead, t.self.Name
	p.changedAt = t.now
	t.clearSuspicion(p)
	t.refreshPeer(p)
	t.enqueueEntry(p, false)
}

// extendSuspicion restarts the timeout of a suspect that has been in contact
// since, so that it has the whole time to refute what the response reported.
func (t *transition) extendSuspicion(p *peer) {
	if !p.suspectedAt.IsZero() && p.lastContact.After(p.suspectedAt) {
		p.suspectedAt = p.lastContact
	}
}

// startExchange sends a note to the next node of a shuffled order, so that
// each is contacted within a bounded time. Every [reconnectRounds] rounds it
// contacts a dead or unknown node instead, so that a partitioned fleet
// reconnects.
func (t *transition) startExchange() {
	t.rounds++
	if t.joining {
		t.join()
		return
	}
	if t.rounds%reconnectRounds == 0 && t.reconnect() {
		return
	}
	for range 2 {
		for len(t.probeOrder) > 0 {
			name := t.probeOrder[0]
			t.probeOrder = t.probeOrder[1:]
			if p, ok := t.members[name]; ok && p.entry.State != note.Dead {
				t.sendNote(name, p.entry.Address, false)
				return
			}
		}
		t.shuffleProbeOrder()
	}
	t.reconnect()
}

func (t *transition) shuffleProbeOrder() {
	t.probeOrder = make([]string, 0, len(t.sorted))
	for _, p := range t.sorted {
		t.probeOrder = append(t.probeOrder, p.entry.Name)
	}
	t.random.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
}

// join contacts several nodes at once in each round, until one responds or the
// attempts are used up.
func (t *transition) join() {
	t.joinAttempts++
	if t.joinAttempts > maxJoinAttempts {
		t.joining = false
	}
	for _, p := range t.samplePeers(burstFanOut, "") {
		t.sendNote(p.entry.Name, p.entry.Address, false)
	}
	for _, address := range t.unknownAddresses(burstFanOut) {
		t.sendNote("", address, false)
	}
}

// reconnect contacts a dead node or a configured address that no known node
// has, and reports whether there was one.
func (t *transition) reconnect() bool {
	var dead []*peer
	for _, p := range t.sorted {
		if p.entry.State == note.Dead {
			dead = append(dead, p)
		}
	}
	addresses := t.unknownAddresses(1)
	if len(dead)+len(addresses) == 0 {
		return false
	}
	at := t.random.IntN(len(dead) + len(addresses))
	if at < len(dead) {
		t.sendNote(dead[at].entry.Name, dead[at].entry.Address, false)
		return true
	}
	t.sendNote("", addresses[at-len(dead)], false)
	return true
}

// unknownAddresses returns up to count addresses from the settings that no
// known node has.
func (t *transition) unknownAddresses(count int) []string {
	var unknown []string
	for _, address := range t.seedAddresses {
		if address != t.self.Address && !t.knowsAddress(address) {
			unknown = append(unknown, address)
		}
	}
	t.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	return unknown[:min(count, len(unknown))]
}

func (t *transition) knowsAddress(address string) bool {
	for _, p := range t.members {
		if p.entry.Address == address {
			return true
		}
	}
	return false
}

// samplePeers returns up to count random nodes that are not dead.
func (t *transition) samplePeers(count int, except string) []*peer {
	var picked []*peer
	if len(t.sorted) == 0 {
		return nil
	}
	at := 0
	for range 2 * len(t.sorted) {
		at = (at + 1 + t.random.IntN(len(t.sorted))) % len(t.sorted)
		p := t.sorted[at]
		if p.entry.Name != except && p.entry.State != note.Dead && !slices.Contains(picked, p) {
			picked = append(picked, p)
		}
		if len(picked) == count {
			break
		}
	}
	return picked
}

func (t *transition) sendNote(name, address string, asked bool) {
	t.emit(Exchange{Name: name, Address: address, Indirect: asked, Note: t.composeNote(name, false, t.viewsDiffer)})
}

// sendBurst sends urgent updates to a few nodes at once, at a bounded rate.
func (t *transition) sendBurst() {
	if !t.urgentPending || t.burstTokens < 1 || len(t.members) == 0 {
		return
	}
	t.urgentPending = false
	t.burstTokens--
	for _, p := range t.samplePeers(burstFanOut, "") {
		t.sendNote(p.entry.Name, p.entry.Address, false)
	}
}

// lost requests indirect probes of a node that gave no response. The node is
// suspected when none succeeds in time.
func (t *transition) lost(m ExchangeFailed) {
	p, ok := t.members[m.Name]
	if !ok || p.entry.State == note.Dead {
		return
	}
	if m.Indirect {
		if p.entry.State == note.Suspect {
			t.suspect(p)
		}
		return
	}
	if _, probing := t.probeDeadlines[m.Name]; probing {
		return
	}
	t.probeDeadlines[m.Name] = t.now.Add(probeTimeout)
	for _, via := range t.samplePeers(probeFanOut, m.Name) {
		t.emit(RequestProbe{Via: via.entry.Address, Name: m.Name, Address: p.entry.Address})
	}
}

func (t *transition) vouched(m ProbeResult) {
	if _, probing := t.probeDeadlines[m.Name]; !probing || !m.Reached {
		return
	}
	delete(t.probeDeadlines, m.Name)
	t.count(CountVouched)
}

// doubted contacts a node that was unreachable outside of an exchange.
func (t *transition) doubted(name string) {
	p, ok := t.members[name]
	if _, probing := t.probeDeadlines[name]; !ok || probing || p.entry.State != note.Alive {
		return
	}
	t.sendNote(name, p.entry.Address, false)
}

// listed merges the platform's host list. It adds nodes but removes none,
// since the list lags.
func (t *transition) listed(m HostList) {
	for _, p := range t.members {
		p.listed, p.listedLeaving = false, false
	}
	for _, h := range m.Nodes {
		t.mergeListedNode(h)
	}
	for _, added := range t.marks.ApplyHostList(t.now, m.LeavingTargets) {
		added := added
		t.enqueue(update{mark: &added, urgent: true}, "t:"+added.Target+"/"+added.Incarnation)
	}
}

func (t *transition) mergeListedNode(h Host) {
	if h.Name == t.self.Name || h.Name == "" || h.Address == "" {
		return
	}
	if _, ok := t.members[h.Name]; !ok {
		t.addPeer(note.Entry{Name: h.Name, Address: h.Address, DataCentre: h.DataCentre, State: note.Alive})
	}
	p, ok := t.members[h.Name]
	if !ok {
		return // The limit of members is reached.
	}
	p.listed, p.listedLeaving = true, h.Leaving
	if p.entry.Incarnation == 0 {
		p.entry.Address, p.entry.DataCentre = h.Address, h.DataCentre
	}
}
