// Package tree decides which nodes send their state to which. A few nodes form
// a full mesh. Many nodes form a tree: the strongest node of each data centre
// is its root. The other nodes there are the root's children, send it their
// state and get that of all nodes in the response. So the number of messages
// grows with the number of nodes and not with its square.
//
// Each node decides on its own from the messages it has received. A node that
// gets a message from a child acts as its parent even if it would choose
// another one itself, so disagreement costs extra messages but loses no state.
package tree

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxMeshNodes is the largest number of nodes in a full mesh. 12 nodes send
	// 2,200 messages a second as a mesh; 71 nodes send 520 as a tree.
	maxMeshNodes = 12
	// messageMaxAge is how long a node is considered up after its last message.
	// It covers sixteen messages.
	messageMaxAge = 2 * time.Second
	// reportMaxAge is how long a node is considered up after other nodes last
	// reported it. They report once a second over up to three hops, and one
	// report may be lost.
	reportMaxAge = 4500 * time.Millisecond
	// removeAfter is how long a node is still counted after it was last seen,
	// since it may be cut off from its peers and still send to targets.
	removeAfter = 30 * time.Second
	// minBackoff and maxBackoff limit the delay before a node that didn't
	// answer is tried again.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
)

// Node describes a node.
type Node struct {
	Name string
	// DataCentre is empty if not known.
	DataCentre string
	// Strength is the node's share of a CPU core. The strongest nodes become
	// roots.
	Strength float64
	// Seed marks a placeholder for a node of which only the address is known; its
	// Name is made up.
	Seed bool
}

// Role is the role in which a node sent a message.
type Role int

// The roles of senders.
const (
	// Child is a node that sends to its parent and requests the state of all
	// nodes.
	Child Role = iota
	// Root is a node without a parent that sends to another root, or any node
	// of a full mesh.
	Root
	// Other is a node that responds or probes.
	Other
)

// State is one node's view of the others. See [New].
type State struct {
	self  Node
	nodes map[string]*entry
}

type entry struct {
	Node
	// addedAt is when the node was added, messageAt when it last sent a
	// message, and reportedAt when other nodes last reported it as up.
	addedAt, messageAt, reportedAt time.Time
	// childAt and rootAt are when it last sent a message in that role.
	childAt, rootAt time.Time
	// retryAt is when a node that didn't answer may be tried again.
	retryAt time.Time
	backoff time.Duration
	// up is the result of the last call to Expire.
	up bool
}

func (e *entry) alive(now time.Time) bool {
	return now.Sub(e.messageAt) < messageMaxAge || now.Sub(e.reportedAt) < reportMaxAge
}

func (e *entry) lastSeen() time.Time {
	last := e.addedAt
	for _, at := range []time.Time{e.messageAt, e.reportedAt} {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// New returns the state of a node that knows no others.
//
//	state := tree.New(tree.Node{Name: "a", DataCentre: "east", Strength: 0.4})
//	state.Add(now, tree.Node{Name: "b", DataCentre: "east", Strength: 0.8})
//	for _, name := range state.Told(now) {
//		send(name)
//	}
func New(self Node) *State { return &State{self: self, nodes: map[string]*entry{}} }

// Add adds a node. A known node is updated, unless n has only a name.
func (s *State) Add(now time.Time, n Node) {
	e := s.entry(now, n.Name)
	if n.DataCentre != "" || n.Seed {
		e.Node = n
	}
}

func (s *State) entry(now time.Time, name string) *entry {
	e, ok := s.nodes[name]
	if !ok {
		e = &entry{Node: Node{Name: name}, addedAt: now}
		s.nodes[name] = e
	}
	return e
}

// Heard records a message from a node.
func (s *State) Heard(now time.Time, n Node, role Role) {
	s.Add(now, n)
	e := s.nodes[n.Name]
	e.messageAt = now
	switch role {
	case Child:
		e.childAt, e.rootAt = now, time.Time{}
	case Root:
		e.rootAt, e.childAt = now, time.Time{}
	case Other:
	}
	e.retryAt, e.backoff = time.Time{}, 0
}

// Said records another node's report of nodes that are up.
func (s *State) Said(now time.Time, names []string) {
	for _, name := range names {
		if name != s.self.Name {
			s.entry(now, name).reportedAt = now
		}
	}
}

// Failed records that a node didn't answer.
func (s *State) Failed(now time.Time, name string) {
	if e, ok := s.nodes[name]; ok {
		e.backoff = min(max(2*e.backoff, minBackoff), maxBackoff)
		e.retryAt = now.Add(e.backoff)
	}
}

// Left removes a node that is shutting down.
func (s *State) Left(name string) { delete(s.nodes, name) }

// Changed is a node that has come up or gone silent.
type Changed struct {
	Name string
	// Up is true if the node has come up, false if it has gone silent.
	Up bool
	// Silent is the time since the node was last seen.
	Silent time.Duration
}

// Expire removes nodes that were not seen for long, and returns the nodes that
// have come up or gone silent since the last call.
func (s *State) Expire(now time.Time) []Changed {
	var changed []Changed
	for _, name := range slices.Sorted(maps.Keys(s.nodes)) {
		e := s.nodes[name]
		silent := now.Sub(e.lastSeen())
		if up := e.alive(now); up != e.up {
			e.up = up
			changed = append(changed, Changed{Name: name, Up: up, Silent: silent})
		}
		if silent > removeAfter {
			delete(s.nodes, name)
		}
	}
	return changed
}

// Count returns the number of nodes that may be running, this one included.
func (s *State) Count() int { return 1 + len(s.nodes) }

// Up returns the other nodes that are up, sorted by name.
func (s *State) Up(now time.Time) []Node {
	var up []Node
	for _, name := range slices.Sorted(maps.Keys(s.nodes)) {
		if e := s.nodes[name]; e.alive(now) {
			up = append(up, e.Node)
		}
	}
	return up
}

// Strongest returns the names of the count strongest nodes that are up, this one
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

// Parent returns the name of this node's parent; false if it is a root or part
// of a full mesh.
func (s *State) Parent(now time.Time) (string, bool) {
	if s.Few() {
		return "", false
	}
	best := s.self
	for _, e := range s.nodes {
		if e.DataCentre == s.self.DataCentre && s.electable(now, e) && byStrength(e.Node, best) < 0 {
			best = e.Node
		}
	}
	if best.Name == s.self.Name {
		return "", false
	}
	return best.Name, true
}

// Few reports whether the nodes are few enough to form a full mesh.
func (s *State) Few() bool { return s.Count() <= maxMeshNodes }

// electable reports whether a node may be chosen as a root: it is up, or was
// added recently and has not failed yet, and no backoff is running.
func (s *State) electable(now time.Time, e *entry) bool {
	return !now.Before(e.retryAt) && (e.alive(now) || e.backoff == 0 && now.Sub(e.addedAt) < removeAfter)
}

// Told returns the nodes to send to now: the parent, else all other roots, or
// in a full mesh all other nodes.
func (s *State) Told(now time.Time) []string {
	if parent, ok := s.Parent(now); ok {
		return []string{parent}
	}
	receivers := map[string]bool{}
	best := map[string]Node{}
	for name, e := range s.nodes {
		if s.Few() || now.Sub(e.rootAt) < messageMaxAge {
			receivers[name] = true
		}
		if e.DataCentre == s.self.DataCentre || e.DataCentre == "" || !s.electable(now, e) {
			continue
		}
		if old, ok := best[e.DataCentre]; !ok || byStrength(e.Node, old) < 0 {
			best[e.DataCentre] = e.Node
		}
	}
	for _, n := range best {
		receivers[n.Name] = true
	}
	return slices.Sorted(maps.Keys(receivers))
}

// Knows reports whether a node is known.
func (s *State) Knows(name string) bool { return s.nodes[name] != nil }

// Alive reports whether a node is up, by its own messages or by reports of
// others.
func (s *State) Alive(now time.Time, name string) bool {
	e, ok := s.nodes[name]
	return ok && e.alive(now)
}

// IsSeed reports whether a node is a placeholder of which only the address is
// known.
func (s *State) IsSeed(name string) bool {
	e, ok := s.nodes[name]
	return ok && e.Seed
}

// Probe returns the strongest silent node of this data centre that is stronger
// than the parent, or than this node if it is a root, and may be back. It has
// to be probed, because no other message would reveal that it is back.
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
		if e.DataCentre != s.self.DataCentre || e.alive(now) || now.Before(e.retryAt) || byStrength(e.Node, above) > 0 || e.Name == above.Name {
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

// IsChild reports whether a node is a child of this one.
func (s *State) IsChild(now time.Time, name string) bool {
	e, ok := s.nodes[name]
	return ok && now.Sub(e.childAt) < messageMaxAge
}

// Leads reports whether this node has any children.
func (s *State) Leads(now time.Time) bool {
	for name := range s.nodes {
		if s.IsChild(now, name) {
			return true
		}
	}
	return false
}

// Says returns the names of nodes to report as up: this node and its children,
// and if down is true, for a report to a child, all nodes that are up.
func (s *State) Says(now time.Time, down bool) []string {
	names := []string{s.self.Name}
	for name, e := range s.nodes {
		if now.Sub(e.childAt) < messageMaxAge || down && e.alive(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
