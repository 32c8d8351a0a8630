// Package member decides which nodes are there, without a consensus group. Each
// node exchanges short notes with a few others at a fixed rate, probes through
// third nodes before it suspects one, and declares none dead that refutes in
// time. Its sources are the settings' peers, the platform's lagging host list,
// other nodes' word and its own failures.
//
// The slice does no I/O and reads no clock. Its randomness comes from a seed.
// The cost of a node in messages and bytes does not depend on the fleet's size.
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
	probeWait        = 1500 * time.Millisecond
	probeFanOut      = 3
	burstFanOut      = 3
	burstsPerSecond  = 0.25
	maxBursts        = 2
	suspicionFloor   = 4 * time.Second
	suspicionSpread  = 3
	maxConfirmers    = 3
	contactGrace     = 3 * time.Second
	stallAfter       = 3 * time.Second
	deadRetention    = 10 * time.Minute
	flapHalfLife     = time.Minute
	maxFlaps         = 3
	maxMembers       = 2048
	healEvery        = 10
	joinTries        = 10
)

// Options describe the node itself.
type Options struct {
	// Name is the node's stable name.
	Name string
	// Address is where other nodes reach it.
	Address string
	// DataCentre is where it stands.
	DataCentre string
	// Incarnation must be higher at each start; the start time in milliseconds
	// does. A node that finds a higher one of its own in the fleet goes above it.
	Incarnation uint64
	// Seed feeds the choice of partners.
	Seed uint64
	// Peers are addresses to try first.
	Peers []string
}

// State is everything that the slice remembers.
type State struct {
	self    note.Entry
	peers   []string
	random  *rand.Rand
	members map[string]*peer
	order   []*peer
	sum     uint64
	alive   int
	marks   mark.Set
	crashes map[uint64]crash
	news    map[string]*item
	probes  map[string]time.Time

	ring      []string
	turns     int
	tries     int
	joining   bool
	differs   bool
	urgent    bool
	bursts    float64
	allowance float64
	cursor    uint64
	last      time.Time
	next      time.Time
	announced uint64
	announce  time.Time
}

// peer is what is known of one other node.
type peer struct {
	entry         note.Entry
	hashed        uint64
	counted       bool
	contact       time.Time
	changed       time.Time
	suspected     time.Time
	confirmers    []string
	flaps         float64
	flapped       time.Time
	listed        bool
	listedLeaving bool
}

type crash struct {
	note.Crash
	at time.Time
}

// New returns a state that knows only itself.
//
//	state := member.New(member.Options{Name: "node-1", Address: "10.0.0.1:7000", Incarnation: startMillis, Seed: seed})
//	state, commands := state.Update(now, member.Tick{})
func New(options Options) State {
	return State{
		self: note.Entry{
			Name: options.Name, Address: options.Address, DataCentre: options.DataCentre,
			Incarnation: max(1, options.Incarnation), State: note.Alive,
		},
		peers:   options.Peers,
		random:  rand.New(rand.NewPCG(options.Seed, options.Incarnation)),
		members: map[string]*peer{}, marks: mark.New(), crashes: map[uint64]crash{},
		news: map[string]*item{}, probes: map[string]time.Time{},
		joining: true, bursts: maxBursts, allowance: maxAllowance,
	}
}

// turn is one call of Update.
type turn struct {
	State
	now       time.Time
	commands  []Command
	repairing bool
}

// Update takes one message and returns the new state and what must be done.
func (s State) Update(now time.Time, message Message) (State, []Command) {
	t := &turn{State: s, now: now}
	switch m := message.(type) {
	case Tick:
		t.tick()
	case Received:
		t.received(m.Note)
	case Replied:
		t.replied(m.Note)
	case Lost:
		t.lost(m)
	case Asked:
		t.send(m.Name, m.Address, true)
	case Vouched:
		t.vouched(m)
	case Listed:
		t.listed(m)
	case Doubted:
		t.doubted(m.Name)
	default:
		t.local(message)
	}
	t.burst()
	return t.State, t.commands
}

// local takes the messages that tell of this node itself and its targets.
func (t *turn) local(message Message) {
	switch m := message.(type) {
	case Leave:
		t.self.State = note.Leaving
		t.spreadSelf()
	case Applied:
		t.applied(m.Version)
	case SawTarget:
		t.marks.Saw(m.Target, m.Incarnation)
	case MarkTarget:
		t.mark(note.Mark{Target: m.Target, Incarnation: m.Incarnation}, true)
	case Crashed:
		t.crashed(m.Crash, true)
	}
}

func (t *turn) do(command Command) { t.commands = append(t.commands, command) }

func (t *turn) count(name string) { t.do(Count{Name: name}) }

// applied starts a burst, since every other node wants the configuration, too.
func (t *turn) applied(version uint64) {
	if version <= t.self.Version {
		return
	}
	t.self.Version = version
	t.urgent = true
}

func (t *turn) received(n note.Note) {
	t.take(n)
	t.do(Reply{Note: t.compose(n.From.Name, n.Joining, t.repair(n))})
}

func (t *turn) replied(n note.Note) {
	t.joining = false
	t.take(n)
	t.repair(n)
}

// repair compares the views and reports whether they differ.
func (t *turn) repair(n note.Note) bool {
	t.differs = n.Digest != t.digest()
	if t.differs {
		t.count(CountRepaired)
		return true
	}
	t.settled()
	return false
}

// take merges what a note says.
func (t *turn) take(n note.Note) {
	if n.From.Name == t.self.Name {
		return
	}
	t.merge(n.From, n.From.Name)
	t.contacted(n.From)
	for _, e := range n.Entries {
		t.merge(e, n.From.Name)
		t.echoed(e)
	}
	t.repairing = true
	for _, e := range n.Known {
		t.merge(e, n.From.Name)
	}
	t.repairing = false
	for name, version := range n.Versions {
		t.versioned(name, version)
	}
	for _, m := range n.Marks {
		t.mark(m, false)
	}
	for _, c := range n.Crashes {
		t.crashed(c, false)
	}
	if n.From.Version > t.self.Version {
		t.do(Heard{Version: n.From.Version, Address: n.From.Address})
	}
}

// contacted notes that a node has just shown itself. What others say of it is
// its own to refute; the answer tells it.
func (t *turn) contacted(from note.Entry) {
	p, ok := t.members[from.Name]
	if !ok || p.entry.Incarnation != from.Incarnation {
		return
	}
	p.contact = t.now
	delete(t.probes, from.Name)
}

func (t *turn) mark(m note.Mark, own bool) {
	if !t.marks.Add(t.now, m) {
		return
	}
	t.spread(item{mark: &m, urgent: true}, "t:"+m.Target+"/"+m.Incarnation)
	if !own {
		t.do(TargetLeaving{Mark: m})
	}
}

// live returns the number of nodes that count as there, this one included.
func (t *turn) live() int { return t.alive + 1 }

// recount brings the digest and the count of live nodes up to date after a
// change to a node.
func (t *turn) recount(p *peer) {
	t.sum ^= p.hashed
	p.hashed = 0
	if p.entry.State != note.Dead && p.entry.Incarnation > 0 {
		p.hashed = digestOf(p.entry)
	}
	t.sum ^= p.hashed
	counts := p.entry.State != note.Dead
	switch {
	case counts && !p.counted:
		t.alive++
	case !counts && p.counted:
		t.alive--
	}
	p.counted = counts
}

// patience returns how long a suspicion lasts with the given confirmations. A
// node that flaps gets more time.
func (t *turn) patience(p *peer) time.Duration {
	live := t.live()
	floor := max(float64(suspicionFloor), float64(suspicionFloor)*math.Log10(float64(live)))
	floor *= 1 + math.Floor(p.flapLevel(t.now))
	wanted := min(maxConfirmers, live-2)
	if wanted <= 1 {
		return time.Duration(floor)
	}
	others := float64(len(p.confirmers) - 1)
	rest := 1 - math.Log(others+1)/math.Log(float64(wanted))
	return time.Duration(floor * (1 + (suspicionSpread-1)*max(0, rest)))
}

// flapLevel returns the decayed number of refuted suspicions.
func (p *peer) flapLevel(now time.Time) float64 {
	if p.flaps == 0 {
		return 0
	}
	return p.flaps * math.Exp2(-now.Sub(p.flapped).Seconds()/flapHalfLife.Seconds())
}
