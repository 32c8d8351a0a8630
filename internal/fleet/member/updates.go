package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/cicadamill/cicadamill/internal/peer/note"
)

const (
	maxEntriesPerNote  = 8
	maxJoinEntries     = 24
	maxVersionsPerNote = 8
	repairEntries      = 2
	// recentEntries of the recentCandidates that changed last go into a repair.
	recentEntries    = 2
	recentCandidates = 8
	// redundantSends is the number of sends by which an update is shortened when a
	// node turns out to have it already.
	redundantSends    = 2
	maxMarksPerNote   = 4
	maxCrashesPerNote = 4
	maxUpdates        = 1024
	// entriesPerSecond and maxEntryTokens are the rate and the size of a token bucket.
	entriesPerSecond = 16
	maxEntryTokens   = 32
	maxKnownCrashes  = 256
	crashLifetime    = 15 * time.Minute
	// crashTolerance absorbs the inaccuracy of ages that are passed from node to node.
	crashTolerance          = time.Second
	announceIntervalPerNode = 200 * time.Millisecond
)

// update is a change that is still being disseminated: an entry, a mark, a
// crash or an applied version.
type update struct {
	entry    *note.Entry
	mark     *note.Mark
	crash    *note.Crash
	name     string
	version  uint64
	urgent   bool
	sends    int
	queuedAt time.Time
	key      string
}

// enqueue queues an update for dissemination. It replaces an earlier one with
// the same key.
func (t *transition) enqueue(u update, key string) {
	if _, known := t.updates[key]; !known && len(t.updates) >= maxUpdates {
		t.dropUpdate()
	}
	u.queuedAt, u.key = t.now, key
	t.updates[key] = &u
	t.urgentPending = t.urgentPending || u.urgent
}

// dropUpdate discards the update that has been sent most often.
func (t *transition) dropUpdate() {
	var worst *update
	for _, u := range t.updates {
		if worst == nil || sendsBefore(worst, u) {
			worst = u
		}
	}
	delete(t.updates, worst.key)
	t.count(CountDropped)
}

func (t *transition) enqueueSelf() {
	self := t.self
	t.enqueue(update{entry: &self, urgent: true}, "m:"+t.self.Name)
	t.announcedVersion, t.announcedAt = t.self.Version, t.now
}

// enqueueEntry queues the changed entry of a node. It skips nodes known only
// from the platform's list, which every node reads itself, and entries
// received as a repair, which are not new to the others.
func (t *transition) enqueueEntry(p *peer, urgent bool) {
	if p.entry.Incarnation == 0 || t.repairing {
		return
	}
	e := p.entry
	t.enqueue(update{entry: &e, urgent: urgent}, "m:"+e.Name)
}

// announceVersion queues this node's applied version. The interval is
// proportional to the number of nodes, so that their total rate is constant.
func (t *transition) announceVersion() {
	if t.announcedVersion == t.self.Version || t.now.Sub(t.announcedAt) < time.Duration(t.liveCount())*announceIntervalPerNode {
		return
	}
	t.announcedVersion, t.announcedAt = t.self.Version, t.now
	t.enqueue(update{name: t.self.Name, version: t.self.Version}, "v:"+t.self.Name)
}

func (t *transition) crashed(c note.Crash, own bool) {
	age := time.Duration(c.AgeMillis) * time.Millisecond
	if age >= crashLifetime || age < 0 {
		return
	}
	known, ok := t.crashes[c.Fingerprint]
	if ok && known.Count >= c.Count && t.now.Add(-age).Sub(known.lastAt) <= crashTolerance {
		return
	}
	if !ok && len(t.crashes) >= maxKnownCrashes {
		t.count(CountDropped)
		return
	}
	t.crashes[c.Fingerprint] = crash{Crash: c, lastAt: t.now.Add(-age)}
	t.enqueue(update{crash: &c, urgent: true}, "c:"+string(littleEndian(c.Fingerprint)))
	if !own {
		t.emit(CrashReceived{Crash: c})
	}
}

func littleEndian(number uint64) []byte {
	var encoded []byte
	for range 8 {
		encoded = append(encoded, byte(number))
		number >>= 8
	}
	return encoded
}

// sendLimit returns how often this node sends an update. It grows with the
// logarithm of the fleet's size.
func (t *transition) sendLimit(u *update) int {
	sends := bits.Len(uint(t.liveCount())) + 2
	if u.version > 0 {
		return (sends + 1) / 2
	}
	return sends
}

// composeNote builds a note for the node to from the queued updates. A suspect
// or dead recipient is sent its own entry, so that it can refute it.
func (t *transition) composeNote(to string, joining, repair bool) note.Note {
	n := note.Note{From: t.self, Digest: t.digest(), Joining: t.joining}
	if p, ok := t.members[to]; ok && (p.entry.State == note.Suspect || p.entry.State == note.Dead) {
		n.Entries = append(n.Entries, p.entry)
	}
	for _, u := range t.nextUpdates(t.allowedEntries(maxEntriesPerNote-len(n.Entries)), func(u *update) bool { return u.entry != nil && u.entry.Name != to }) {
		n.Entries = append(n.Entries, *u.entry)
		t.entryTokens--
		t.recordSend(u)
	}
	for _, u := range t.nextUpdates(maxVersionsPerNote, func(u *update) bool { return u.version > 0 && u.name != to }) {
		if n.Versions == nil {
			n.Versions = map[string]uint64{}
		}
		n.Versions[u.name] = u.version
		t.recordSend(u)
	}
	for _, u := range t.nextUpdates(maxMarksPerNote, func(u *update) bool { return u.mark != nil }) {
		n.Marks = append(n.Marks, *u.mark)
		t.recordSend(u)
	}
	for _, u := range t.nextUpdates(maxCrashesPerNote, func(u *update) bool { return u.crash != nil }) {
		aged := *u.crash
		aged.AgeMillis = t.now.Sub(t.crashes[aged.Fingerprint].lastAt).Milliseconds()
		n.Crashes = append(n.Crashes, aged)
		t.recordSend(u)
	}
	return t.addRepair(n, to, joining, repair)
}

// addRepair adds entries and marks that are not queued as updates, when the
// recipient joins or its view differs. The cursor persists between calls, so
// that everything is sent in turn.
func (t *transition) addRepair(n note.Note, to string, joining, repair bool) note.Note {
	room := repairEntries
	switch {
	case joining:
		room = maxJoinEntries
	case !repair:
		return n
	}
	for _, p := range t.recentPeers() {
		n.Repair = append(n.Repair, p.entry)
		t.entryTokens--
	}
	t.repairCursor += uint64(t.random.IntN(2))
	for range t.allowedEntries(min(room, len(t.sorted))) {
		t.repairCursor++
		p := t.sorted[t.repairCursor%uint64(len(t.sorted))]
		if p.entry.Incarnation > 0 && p.entry.Name != to {
			n.Repair = append(n.Repair, p.entry)
			t.entryTokens--
		}
	}
	all := t.marks.All()
	for range min(maxMarksPerNote-len(n.Marks), len(all)) {
		t.repairCursor++
		n.Marks = append(n.Marks, all[t.repairCursor%uint64(len(all))])
	}
	return n
}

// recentPeers returns a few random nodes out of those that changed last, since
// an entry that the recipient lacks is most likely a recent one.
func (t *transition) recentPeers() []*peer {
	var last []*peer
	for _, p := range t.sorted {
		full := len(last) >= recentCandidates
		if p.entry.Incarnation == 0 || full && !p.changedAt.After(last[recentCandidates-1].changedAt) {
			continue
		}
		at, _ := slices.BinarySearchFunc(last, p, func(a, b *peer) int { return b.changedAt.Compare(a.changedAt) })
		last = slices.Insert(last, at, p)
		last = last[:min(recentCandidates, len(last))]
	}
	t.random.Shuffle(len(last), func(i, j int) { last[i], last[j] = last[j], last[i] })
	return last[:t.allowedEntries(min(recentEntries, len(last)))]
}

// allowedEntries returns how many of the wanted entries may be sent now. A
// token bucket limits the rate of entries over all notes, and with it the
// bytes that a node sends when everything changes at once.
func (t *transition) allowedEntries(wanted int) int { return max(0, min(wanted, int(t.entryTokens))) }

func (t *transition) recordSend(u *update) { t.recordSends(u, 1) }

// recordSends adds to the sends of an update and removes it at its limit.
func (t *transition) recordSends(u *update, sends int) {
	u.sends += sends
	if u.sends >= t.sendLimit(u) {
		delete(t.updates, u.key)
	}
}

// recordEcho shortens the dissemination of an entry that another node
// disseminates, too.
func (t *transition) recordEcho(e note.Entry) {
	if u, ok := t.updates["m:"+e.Name]; ok && *u.entry == e && u.queuedAt != t.now {
		t.recordSends(u, redundantSends)
	}
}

// recordAgreement shortens the dissemination of the updates that a node with
// an equal digest must already have.
func (t *transition) recordAgreement() {
	for _, u := range t.updates {
		stable := u.mark != nil || u.entry != nil && (u.entry.State == note.Alive || u.entry.State == note.Leaving)
		if stable && u.queuedAt != t.now {
			t.recordSends(u, redundantSends)
		}
	}
}

// nextUpdates returns up to count wanted updates: the least sent first, then
// the newest.
func (t *transition) nextUpdates(count int, wanted func(*update) bool) []*update {
	var best []*update
	for _, u := range t.updates {
		full := len(best) >= count
		if count <= 0 || full && sendsBefore(best[count-1], u) || !wanted(u) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, u, compareUpdates)
		best = slices.Insert(best, at, u)
		best = best[:min(count, len(best))]
	}
	return best
}

func sendsBefore(a, b *update) bool { return compareUpdates(a, b) < 0 }

func compareUpdates(a, b *update) int {
	if a.sends != b.sends {
		return a.sends - b.sends
	}
	if c := b.queuedAt.Compare(a.queuedAt); c != 0 {
		return c
	}
	return cmp.Compare(a.key, b.key)
}

// digest returns a hash of the nodes that are not dead and of the known marks.
// It leaves out suspicions, which are too short-lived to compare, and
// versions, which are announced at a fixed rate.
func (t *transition) digest() uint64 {
	return digestOf(t.self) ^ t.peersDigest ^ t.marks.Digest()
}

func digestOf(e note.Entry) uint64 {
	leaving := uint64(0)
	if e.State == note.Leaving {
		leaving = 1
	}
	return xxh3.HashStringSeed(e.Name, e.Incarnation<<1|leaving)
}
