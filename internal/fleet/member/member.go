// Package member keeps a node's view of the fleet without a consensus group,
// by a SWIM-like gossip protocol. Each node exchanges short notes with a few
// others at a fixed rate, requests indirect probes before it suspects a node,
// and declares a node dead only when it doesn't refute the suspicion in time.
// Nodes are learnt from the peers in the settings, the platform's lagging host
// list and the notes of other nodes.
//
// The state machine does no I/O and reads no clock, and its randomness comes
// from a seed. The messages and bytes that a node sends per second don't grow
// with the size of the fleet.
package member

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cicadamill/cicadamill/internal/fleet/mark"
	"github.com/cicadamill/cicadamill/internal/peer/note"
)

// TickInterval is how often the shell should send a [Tick].
const TickInterval = 200 * time.Millisecond

const (
	exchangeInterval = time.Second
	exchangeJitter   = 200 * time.Millisecond
	probeTimeout     = 1500 * time.Millisecond
	probeFanOut      = 3
	burstFanOut      = 3
	// burstsPerSecond and maxBurstTokens are the rate and the size of a token bucket.
	burstsPerSecond = 0.25
	maxBurstTokens  = 2
	minSuspicion    = 4 * time.Second
	// maxSuspicionFactor times the minimum is the time that a suspicion without
	// confirmations lasts.
	maxSuspicionFactor = 3
	maxConfirmers      = 3
	// contactGrace is how long a contact outweighs another node's report of death.
	contactGrace   = 3 * time.Second
	stallThreshold = 3 * time.Second
	deadRetention  = 10 * time.Minute
	flapHalfLife   = time.Minute
	maxFlaps       = 3
	maxMembers     = 2048
	// reconnectRounds is the number of exchanges from one contact with a dead or
	// unknown node to the next.
	reconnectRounds = 10
	maxJoinAttempts = 10
)

// Options describe this node.
type Options struct {
	// Name is the node's stable name.
	Name string
	// Address is where other nodes reach it.
	Address string
	// DataCentre is the node's data centre.
	DataCentre string
	// Incarnation must be higher at each start, such as the start time in
	// milliseconds. A node that finds a higher incarnation of itself in the
	// fleet continues above that.
	Incarnation uint64
	// Seed seeds the random choice of peers.
	Seed uint64
	// Peers are the addresses that the node contacts first.
	Peers []string
}

// View is one node's view of the fleet.
type View struct {
	self           note.Entry
	seedAddresses  []string
	random         *rand.Rand
	members        map[string]*peer
	sorted         []*peer // members by name
	peersDigest    uint64  // XOR of the digests of all members
	alive          int     // members that are not dead
	marks          mark.Set
	crashes        map[uint64]crash
	updates        map[string]*update
	probeDeadlines map[string]time.Time

	probeOrder       []string
	rounds           int
	joinAttempts     int
	joining          bool
	viewsDiffer      bool
	urgentPending    bool
	burstTokens      float64
	entryTokens      float64
	repairCursor     uint64
	lastTick         time.Time
	nextExchange     time.Time
	announcedVersion uint64
	announcedAt      time.Time
}

// peer is what this node knows of another one.
type peer struct {
	entry         note.Entry
	digest        uint64
	countedAlive  bool
	lastContact   time.Time
	changedAt     time.Time
	suspectedAt   time.Time
	confirmers    []string
	flapCount     float64
	flapCountAt   time.Time
	listed        bool
	listedLeaving bool
}

type crash struct {
	note.Crash
	lastAt time.Time
}

// New returns a state that knows no other node.
//
//	state := member.New(member.Options{Name: "node-1", Address: "10.0.0.1:7000", Incarnation: startMillis, Seed: seed})
//	state, commands := state.Update(now, member.Tick{})
func New(options Options) View {
	return View{
		self: note.Entry{
			Name: options.Name, Address: options.Address, DataCentre: options.DataCentre,
			Incarnation: max(1, options.Incarnation), State: note.Alive,
		},
		seedAddresses: options.Peers,
		random:        rand.New(rand.NewPCG(options.Seed, options.Incarnation)),
		members:       map[string]*peer{}, marks: mark.New(), crashes: map[uint64]crash{},
		updates: map[string]*update{}, probeDeadlines: map[string]time.Time{},
		joining: true, burstTokens: maxBurstTokens, entryTokens: maxEntryTokens,
	}
}

// transition is the working state of one call of Update.
type transition struct {
	View
	now       time.Time
	commands  []Command
	repairing bool
}

// Update applies a message and returns the new state and the commands to run.
func (v View) Update(now time.Time, message Message) (View, []Command) {
	t := &transition{View: v, now: now}
	switch m := message.(type) {
	case Tick:
		t.tick()
	case Received:
		t.received(m.Note)
	case Replied:
		t.replied(m.Note)
	case ExchangeFailed:
		t.lost(m)
	case ProbeRequested:
		t.sendNote(m.Name, m.Address, true)
	case ProbeResult:
		t.vouched(m)
	case HostList:
		t.listed(m)
	case NodeUnreachable:
		t.doubted(m.Name)
	default:
		t.handleLocal(message)
	}
	t.sendBurst()
	return t.View, t.commands
}

// handleLocal handles the messages about this node itself, its targets and its
// requests.
func (t *transition) handleLocal(message Message) {
	switch m := message.(type) {
	case Leave:
		t.self.State = note.Leaving
		t.enqueueSelf()
	case ConfigApplied:
		t.applied(m.Version)
	case TargetSeen:
		t.marks.RecordIncarnation(m.Target, m.Incarnation)
	case MarkTarget:
		t.addMark(note.Mark{Target: m.Target, Incarnation: m.Incarnation}, true)
	case CrashRecorded:
		t.crashed(m.Crash, true)
	}
}

func (t *transition) emit(command Command) { t.commands = append(t.commands, command) }

func (t *transition) count(name string) { t.emit(Count{Name: name}) }

// applied requests a burst, so that the other nodes fetch the new
// configuration soon.
func (t *transition) applied(version uint64) {
	if version <= t.self.Version {
		return
	}
	t.self.Version = version
	t.urgentPending = true
}

func (t *transition) received(n note.Note) {
	t.mergeNote(n)
	t.emit(Reply{Note: t.composeNote(n.From.Name, n.Joining, t.compareViews(n))})
}

func (t *transition) replied(n note.Note) {
	t.joining = false
	t.mergeNote(n)
	t.compareViews(n)
}

// compareViews compares the sender's digest with this node's and reports
// whether they differ.
func (t *transition) compareViews(n note.Note) bool {
	t.viewsDiffer = n.Digest != t.digest()
	if t.viewsDiffer {
		t.count(CountRepaired)
		return true
	}
	t.recordAgreement()
	return false
}

// mergeNote merges the contents of a note from another node.
func (t *transition) mergeNote(n note.Note) {
	if n.From.Name == t.self.Name {
		return
	}
	t.mergeEntry(n.From, n.From.Name)
	t.recordContact(n.From)
	for _, e := range n.Entries {
		t.mergeEntry(e, n.From.Name)
		t.recordEcho(e)
	}
	t.repairing = true
	for _, e := range n.Repair {
		t.mergeEntry(e, n.From.Name)
	}
	t.repairing = false
	for name, version := range n.Versions {
		t.mergeVersion(name, version)
	}
	for _, m := range n.Marks {
		t.addMark(m, false)
	}
	for _, c := range n.Crashes {
		t.crashed(c, false)
	}
	if n.From.Version > t.self.Version {
		t.emit(NewerConfig{Version: n.From.Version, Address: n.From.Address})
	}
}

// recordContact records that a node has been in contact itself, and cancels
// its probe. It doesn't clear a suspicion: that is for the node to refute,
// which the response makes it aware of.
func (t *transition) recordContact(from note.Entry) {
	p, ok := t.members[from.Name]
	if !ok || p.entry.Incarnation != from.Incarnation {
		return
	}
	p.lastContact = t.now
	delete(t.probeDeadlines, from.Name)
}

func (t *transition) addMark(m note.Mark, own bool) {
	if !t.marks.Add(t.now, m) {
		return
	}
	t.enqueue(update{mark: &m, urgent: true}, "t:"+m.Target+"/"+m.Incarnation)
	if !own {
		t.emit(TargetLeaving{Mark: m})
	}
}

// liveCount returns the number of nodes that are not dead, this one included.
func (t *transition) liveCount() int { return t.alive + 1 }

// refreshPeer updates the digest and the count of live nodes after a change to
// a node.
func (t *transition) refreshPeer(p *peer) {
	t.peersDigest ^= p.digest
	p.digest = 0
	if p.entry.State != note.Dead && p.entry.Incarnation > 0 {
		p.digest = digestOf(p.entry)
	}
	t.peersDigest ^= p.digest
	counts := p.entry.State != note.Dead
	switch {
	case counts && !p.countedAlive:
		t.alive++
	case !counts && p.countedAlive:
		t.alive--
	}
	p.countedAlive = counts
}

// suspicionTimeout returns how long a suspicion lasts. It shrinks with each
// confirmation by another node, and grows with the size of the fleet and with
// recently refuted suspicions of a flapping node.
func (t *transition) suspicionTimeout(p *peer) time.Duration {
	live := t.liveCount()
	floor := max(float64(minSuspicion), float64(minSuspicion)*math.Log10(float64(live)))
	floor *= 1 + math.Floor(p.decayedFlaps(t.now))
	wanted := min(maxConfirmers, live-2)
	if wanted <= 1 {
		return time.Duration(floor)
	}
	others := float64(len(p.confirmers) - 1)
	rest := 1 - math.Log(others+1)/math.Log(float64(wanted))
	return time.Duration(floor * (1 + (maxSuspicionFactor-1)*max(0, rest)))
}

// decayedFlaps returns the number of refuted suspicions, which decays with
// [flapHalfLife].
func (p *peer) decayedFlaps(now time.Time) float64 {
	if p.flapCount == 0 {
		return 0
	}
	return p.flapCount * math.Exp2(-now.Sub(p.flapCountAt).Seconds()/flapHalfLife.Seconds())
}
