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
	maxEntries     = 8
	maxJoinEntries = 24
	maxVersions    = 8
	repairEntries  = 2
	recentEntries  = 2
	recentPool     = 8
	echoWeight     = 2
	maxMarks       = 4
	maxCrashes     = 4
	maxNews        = 1024
	entriesPerSec  = 16
	maxAllowance   = 32
	maxKnownCrash  = 256
	crashLifetime  = 15 * time.Minute
	crashTolerance = time.Second
	announceShare  = 200 * time.Millisecond
)

// item is one piece of news that still spreads.
type item struct {
	entry   *note.Entry
	mark    *note.Mark
	crash   *note.Crash
	name    string
	version uint64
	urgent  bool
	sends   int
	born    time.Time
	key     string
}

// spread queues news. Under the same key it replaces what was said before.
func (t *turn) spread(i item, key string) {
	if _, known := t.news[key]; !known && len(t.news) >= maxNews {
		t.dropNews()
	}
	i.born, i.key = t.now, key
	t.news[key] = &i
	t.urgent = t.urgent || i.urgent
}

// dropNews gives up the piece of news that was sent most often.
func (t *turn) dropNews() {
	var worst *item
	for _, i := range t.news {
		if worst == nil || before(worst, i) {
			worst = i
		}
	}
	delete(t.news, worst.key)
	t.count(CountDropped)
}

func (t *turn) spreadSelf() {
	self := t.self
	t.spread(item{entry: &self, urgent: true}, "m:"+t.self.Name)
	t.announced, t.announce = t.self.Version, t.now
}

// spreadEntry spreads what changed about a node. What is known from a list
// alone stays here, since every node reads that list itself; so does what came
// as a repair, since it is no news to the others.
func (t *turn) spreadEntry(p *peer, urgent bool) {
	if p.entry.Incarnation == 0 || t.repairing {
		return
	}
	e := p.entry
	t.spread(item{entry: &e, urgent: urgent}, "m:"+e.Name)
}

// announceVersion spreads this node's applied version. The larger the fleet, the
// rarer each node does, so that all of them together stay at a fixed rate.
func (t *turn) announceVersion() {
	if t.announced == t.self.Version || t.now.Sub(t.announce) < time.Duration(t.live())*announceShare {
		return
	}
	t.announced, t.announce = t.self.Version, t.now
	t.spread(item{name: t.self.Name, version: t.self.Version}, "v:"+t.self.Name)
}

func (t *turn) crashed(c note.Crash, own bool) {
	age := time.Duration(c.AgeMillis) * time.Millisecond
	if age >= crashLifetime || age < 0 {
		return
	}
	known, ok := t.crashes[c.Fingerprint]
	if ok && known.Count >= c.Count && t.now.Add(-age).Sub(known.at) <= crashTolerance {
		return
	}
	if !ok && len(t.crashes) >= maxKnownCrash {
		t.count(CountDropped)
		return
	}
	t.crashes[c.Fingerprint] = crash{Crash: c, at: t.now.Add(-age)}
	t.spread(item{crash: &c, urgent: true}, "c:"+string(hash(c.Fingerprint)))
	if !own {
		t.do(CrashHeard{Crash: c})
	}
}

func hash(number uint64) []byte {
	var encoded []byte
	for range 8 {
		encoded = append(encoded, byte(number))
		number >>= 8
	}
	return encoded
}

// limit returns how often one node sends a piece of news. It grows with the
// logarithm of the fleet's size.
func (t *turn) limit(i *item) int {
	whole := bits.Len(uint(t.live())) + 2
	if i.version > 0 {
		return (whole + 1) / 2
	}
	return whole
}

// compose builds this node's half of an exchange.
func (t *turn) compose(to string, joining, repair bool) note.Note {
	n := note.Note{From: t.self, Digest: t.digest(), Joining: t.joining}
	if p, ok := t.members[to]; ok && (p.entry.State == note.Suspect || p.entry.State == note.Dead) {
		n.Entries = append(n.Entries, p.entry)
	}
	for _, i := range t.first(t.allow(maxEntries-len(n.Entries)), func(i *item) bool { return i.entry != nil && i.entry.Name != to }) {
		n.Entries = append(n.Entries, *i.entry)
		t.allowance--
		t.sent(i)
	}
	for _, i := range t.first(maxVersions, func(i *item) bool { return i.version > 0 && i.name != to }) {
		if n.Versions == nil {
			n.Versions = map[string]uint64{}
		}
		n.Versions[i.name] = i.version
		t.sent(i)
	}
	for _, i := range t.first(maxMarks, func(i *item) bool { return i.mark != nil }) {
		n.Marks = append(n.Marks, *i.mark)
		t.sent(i)
	}
	for _, i := range t.first(maxCrashes, func(i *item) bool { return i.crash != nil }) {
		aged := *i.crash
		aged.AgeMillis = t.now.Sub(t.crashes[aged.Fingerprint].at).Milliseconds()
		n.Crashes = append(n.Crashes, aged)
		t.sent(i)
	}
	return t.fill(n, to, joining, repair)
}

// fill uses what room is left for older knowledge when the views differ. The
// place where it goes on is kept, so that all of it is sent in turn.
func (t *turn) fill(n note.Note, to string, joining, repair bool) note.Note {
	room := repairEntries
	switch {
	case joining:
		room = maxJoinEntries
	case !repair:
		return n
	}
	for _, p := range t.recent() {
		n.Known = append(n.Known, p.entry)
		t.allowance--
	}
	t.cursor += uint64(t.random.IntN(2))
	for range t.allow(min(room, len(t.order))) {
		t.cursor++
		p := t.order[t.cursor%uint64(len(t.order))]
		if p.entry.Incarnation > 0 && p.entry.Name != to {
			n.Known = append(n.Known, p.entry)
			t.allowance--
		}
	}
	all := t.marks.All()
	for range min(maxMarks-len(n.Marks), len(all)) {
		t.cursor++
		n.Marks = append(n.Marks, all[t.cursor%uint64(len(all))])
	}
	return n
}

// recent picks a few of the nodes that changed last: what one side lacks is most
// likely new.
func (t *turn) recent() []*peer {
	var last []*peer
	for _, p := range t.order {
		full := len(last) >= recentPool
		if p.entry.Incarnation == 0 || full && !p.changed.After(last[recentPool-1].changed) {
			continue
		}
		at, _ := slices.BinarySearchFunc(last, p, func(a, b *peer) int { return b.changed.Compare(a.changed) })
		last = slices.Insert(last, at, p)
		last = last[:min(recentPool, len(last))]
	}
	t.random.Shuffle(len(last), func(i, j int) { last[i], last[j] = last[j], last[i] })
	return last[:t.allow(min(recentEntries, len(last)))]
}

// allow returns how many of the wanted entries may be sent now. The entries of
// all notes together have a fixed rate, which bounds the bytes of a node also
// when everything happens at once.
func (t *turn) allow(wanted int) int { return max(0, min(wanted, int(t.allowance))) }

func (t *turn) sent(i *item) { t.spent(i, 1) }

// spent takes a number of sends off what is left of a piece of news.
func (t *turn) spent(i *item, sends int) {
	i.sends += sends
	if i.sends >= t.limit(i) {
		delete(t.news, i.key)
	}
}

// echoed shortens the life of news that another node sends as news as well.
func (t *turn) echoed(e note.Entry) {
	if i, ok := t.news["m:"+e.Name]; ok && *i.entry == e && i.born != t.now {
		t.spent(i, echoWeight)
	}
}

// settled shortens the life of all news that a node with the same view has.
func (t *turn) settled() {
	for _, i := range t.news {
		stable := i.mark != nil || i.entry != nil && (i.entry.State == note.Alive || i.entry.State == note.Leaving)
		if stable && i.born != t.now {
			t.spent(i, echoWeight)
		}
	}
}

// first returns the news that are sent next: the least sent, then the newest.
func (t *turn) first(count int, wanted func(*item) bool) []*item {
	var best []*item
	for _, i := range t.news {
		full := len(best) >= count
		if count <= 0 || full && before(best[count-1], i) || !wanted(i) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, i, compare)
		best = slices.Insert(best, at, i)
		best = best[:min(count, len(best))]
	}
	return best
}

func before(a, b *item) bool { return compare(a, b) < 0 }

func compare(a, b *item) int {
	if a.sends != b.sends {
		return a.sends - b.sends
	}
	if c := b.born.Compare(a.born); c != 0 {
		return c
	}
	return cmp.Compare(a.key, b.key)
}

// digest summarises who is there and which marks are known. Suspicions are too
// short-lived to compare, and versions are announced at a fixed rate.
func (t *turn) digest() uint64 {
	return digestOf(t.self) ^ t.sum ^ t.marks.Digest()
}

func digestOf(e note.Entry) uint64 {
	leaving := uint64(0)
	if e.State == note.Leaving {
		leaving = 1
	}
	return xxh3.HashStringSeed(e.Name, e.Incarnation<<1|leaving)
}
