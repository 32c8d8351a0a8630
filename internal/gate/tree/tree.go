// Package tree decides which nodes tell each other of their work. With few nodes
// each tells every other. With many, the strongest node of each data centre is
// told by the others there and tells them what all nodes do, so that messages
// grow with the number of nodes and not with its square.
//
// Each node decides for itself from what it has heard. A node that is told acts
// for those who tell it, whatever it thinks itself; so disagreement costs
// messages and not news.
package tree

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// fewNodes is the number of nodes up to which each tells every other: 12
	// nodes send 2,200 messages a second so, a tree of 71 sends 520.
	fewNodes = 12
	// heardAge is how long after its last message a node counts as up: sixteen
	// messages.
	heardAge = 2 * time.Second
	// saidAge is how long a node counts as up that others say to be so: they say
	// it once a second, over up to three steps, one of which may be lost.
	saidAge = 4500 * time.Millisecond
	// knownAge is how long after its last sign a node is still counted: it may be
	// cut off and yet send to targets.
	knownAge = 30 * time.Second
	// minBackoff and maxBackoff bound how long a node that did not answer is not
	// asked again.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
)

// Node is one node.
type Node struct {
	// Name is its name.
	Name string
	// DataCentre is where it stands; empty if not known.
	DataCentre string
	// Strength is its share of a core; the strongest tell the others.
	Strength float64
	// Seed is true when only an address is known, and the name stands for it.
	Seed bool
}

// Role is what a node was when it sent a message.
type Role int

// The roles of senders.
const (
	// Child is a node that wants to be told.
	Child Role = iota
	// Root is a node that tells others.
	Root
	// Other is a node that answers, or that looks whether this one is there.
	Other
)

// State is what one node knows of the others. See [New].
type State struct {
	self  Node
	nodes map[string]*entry
}

type entry struct {
	Node
	// known, heard and said are when its row was read, when it last sent a
	// message, and when others last said that it is up.
	known, heard, said time.Time
	// child and root are when it last sent a message in that role.
	child, root time.Time
	retry       time.Time
	backoff     time.Duration
	up          bool
}

func (e *entry) alive(now time.Time) bool {
	return now.Sub(e.heard) < heardAge || now.Sub(e.said) < saidAge
}

func (e *entry) last() time.Time {
	last := e.known
	for _, at := range []time.Time{e.heard, e.said} {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// New returns a state that knows only its own node.
//
//	state := tree.New(tree.Node{Name: "a", DataCentre: "east", Strength: 0.4})
//	state.Add(now, tree.Node{Name: "b", DataCentre: "east", Strength: 0.8})
//	for _, name := range state.Told(now) {
//		tell(name)
//	}
func New(self Node) *State { return &State{self: self, nodes: map[string]*entry{}} }

// Add names a node.
func (s *State) Add(now time.Time, n Node) {
	e := s.entry(now, n.Name)
	if n.DataCentre != "" || n.Seed {
		e.Node = n
	}
}

func (s *State) entry(now time.Time, name string) *entry {
	e, ok := s.nodes[name]
	if !ok {
		e = &entry{Node: Node{Name: name}, known: now}
		s.nodes[name] = e
	}
	return e
}

// Heard notes a message of a node.
func (s *State) Heard(now time.Time, n Node, role Role) {
	s.Add(now, n)
	e := s.nodes[n.Name]
	e.heard = now
	switch role {
	case Child:
		e.child, e.root = now, time.Time{}
	case Root:
		e.root, e.child = now, time.Time{}
	case Other:
	}
	e.retry, e.backoff = time.Time{}, 0
}

// Said notes that another node says which nodes are up.
func (s *State) Said(now time.Time, names []string) {
	for _, name := range names {
		if name != s.self.Name {
			s.entry(now, name).said = now
		}
	}
}

// Failed notes that a node did not answer.
func (s *State) Failed(now time.Time, name string) {
	if e, ok := s.nodes[name]; ok {
		e.backoff = min(max(2*e.backoff, minBackoff), maxBackoff)
		e.retry = now.Add(e.backoff)
	}
}

// Left removes a node that ends.
func (s *State) Left(name string) { delete(s.nodes, name) }

// Changed is a node that has come up or gone silent.
type Changed struct {
	// Name is the node's name.
	Name string
	// Up is true when it has come up.
	Up bool
	// Silent is how long nothing was heard of it.
	Silent time.Duration
}

// Expire drops nodes of which nothing was heard for long, and returns which nodes
// have come up or gone silent since the last call.
func (s *State) Expire(now time.Time) []Changed {
	var changed []Changed
	for _, name := range slices.Sorted(maps.Keys(s.nodes)) {
		e := s.nodes[name]
		silent := now.Sub(e.last())
		if up := e.alive(now); up != e.up {
			e.up = up
			changed = append(changed, Changed{Name: name, Up: up, Silent: silent})
		}
		if silent > knownAge {
			delete(s.nodes, name)
		}
	}
	return changed
}

// Count returns how many nodes there may be, this one included.
func (s *State) Count() int { return 1 + len(s.nodes) }

// Up returns the nodes that are up by name, without this one.
func (s *State) Up(now time.Time) []Node {
	var up []Node
	for _, name := range slices.Sorted(maps.Keys(s.nodes)) {
		if e := s.nodes[name]; e.alive(now) {
			up = append(up, e.Node)
		}
	}
	return up
}

// Strongest returns the names of the strongest nodes that are up, this one
// included.
func (s *State) Strongest(now time.Time, count int) []string {
	all := append(s.Up(now), s.self)
	slices.SortFunc(all, byStrength)
	all = all[:min(count, len(all))]
	names := make([]string, len(all))
	for i, n := range all {
		names[i] = n.Name
	}
	return names
}

func byStrength(a, b Node) int {
	return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(a.Name, b.Name))
}

// Parent returns the node to which this one turns; false for a root.
func (s *State) Parent(now time.Time) (string, bool) {
	if s.Few() {
		return "", false
	}
	best := s.self
	for _, e := range s.nodes {
		if e.DataCentre == s.self.DataCentre && s.candidate(now, e) && byStrength(e.Node, best) < 0 {
			best = e.Node
		}
	}
	if best.Name == s.self.Name {
		return "", false
	}
	return best.Name, true
}

// Few reports whether there are so few nodes that each tells every other.
func (s *State) Few() bool { return s.Count() <= fewNodes }

// candidate reports whether a node may be up: one that was just named or one
// that is, unless it has just not answered.
func (s *State) candidate(now time.Time, e *entry) bool {
	return !now.Before(e.retry) && (e.alive(now) || e.backoff == 0 && now.Sub(e.known) < knownAge)
}

// Told returns the nodes that get a message now: the parent alone, or all roots.
func (s *State) Told(now time.Time) []string {
	if parent, ok := s.Parent(now); ok {
		return []string{parent}
	}
	told := map[string]bool{}
	best := map[string]Node{}
	for name, e := range s.nodes {
		if s.Few() || now.Sub(e.root) < heardAge {
			told[name] = true
		}
		if e.DataCentre == s.self.DataCentre || e.DataCentre == "" || !s.candidate(now, e) {
			continue
		}
		if old, ok := best[e.DataCentre]; !ok || byStrength(e.Node, old) < 0 {
			best[e.DataCentre] = e.Node
		}
	}
	for _, n := range best {
		told[n.Name] = true
	}
	return slices.Sorted(maps.Keys(told))
}

// Knows reports whether a node is known.
func (s *State) Knows(name string) bool { return s.nodes[name] != nil }

// Alive reports whether a node is up.
func (s *State) Alive(now time.Time, name string) bool {
	e, ok := s.nodes[name]
	return ok && e.alive(now)
}

// IsSeed reports whether of a node only its address is known.
func (s *State) IsSeed(name string) bool {
	e, ok := s.nodes[name]
	return ok && e.Seed
}

// Probe returns a stronger node of the data centre that went silent and may be
// back: nobody else would find out.
func (s *State) Probe(now time.Time) (string, bool) {
	if s.Few() {
		return "", false
	}
	above := s.self
	if parent, ok := s.Parent(now); ok {
		above = s.nodes[parent].Node
	}
	var best *entry
	for _, e := range s.nodes {
		if e.DataCentre != s.self.DataCentre || e.alive(now) || now.Before(e.retry) || byStrength(e.Node, above) > 0 || e.Name == above.Name {
			continue
		}
		if best == nil || byStrength(e.Node, best.Node) < 0 {
			best = e
		}
	}
	if best == nil {
		return "", false
	}
	return best.Name, true
}

// IsChild reports whether a node turns to this one.
func (s *State) IsChild(now time.Time, name string) bool {
	e, ok := s.nodes[name]
	return ok && now.Sub(e.child) < heardAge
}

// Leads reports whether any node turns to this one.
func (s *State) Leads(now time.Time) bool {
	for name := range s.nodes {
		if s.IsChild(now, name) {
			return true
		}
	}
	return false
}

// Says returns the names that this node says to be up to an audience: itself and
// its children; to a child, all that it knows to be up.
func (s *State) Says(now time.Time, down bool) []string {
	names := []string{s.self.Name}
	for name, e := range s.nodes {
		if now.Sub(e.child) < heardAge || down && e.alive(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
