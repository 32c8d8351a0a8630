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
	// startTime is how long a node that has sent nothing yet is expected to be up:
	// the time in which all nodes find each other after they start at once.
	startTime = 3 * time.Second
	// minBackoff and maxBackoff limit the delay before a node that didn't
	// answer is tried again.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
)

// Node describes a node.
type Node struct {
	Name string
	// DataCentre is empty if unknown.
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

// Topology is one node's view of the others. See [New].
type Topology struct {
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

// New returns a Topology without other nodes.
//
//	topology := tree.New(tree.Node{Name: "a", DataCentre: "east", Strength: 0.4})
//	topology.Add(now, tree.Node{Name: "b", DataCentre: "east", Strength: 0.8})
//	for _, name := range topology.Receivers(now) {
//		send(name)
//	}
func New(self Node) *Topology { return &Topology{self: self, nodes: map[string]*entry{}} }

// Add adds a node. A known node is updated, unless n has only a name.
func (t *Topology) Add(now time.Time, n Node) {
	e := t.entry(now, n.Name)
	if n.DataCentre != "" || n.Seed {
		e.Node = n
	}
}

func (t *Topology) entry(now time.Time, name string) *entry {
	e, ok := t.nodes[name]
	if !ok {
		e = &entry{Node: Node{Name: name}, addedAt: now}
		t.nodes[name] = e
	}
	return e
}

// RecordMessage records a message from a node.
func (t *Topology) RecordMessage(now time.Time, n Node, role Role) {
	t.Add(now, n)
	e := t.nodes[n.Name]
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

// RecordMoved records that a node is no child any more.
func (t *Topology) RecordMoved(name string) {
	if e, ok := t.nodes[name]; ok {
		e.childAt = time.Time{}
	}
}

// RecordReport records another node's report of nodes that are up.
func (t *Topology) RecordReport(now time.Time, names []string) {
	for _, name := range names {
		if name != t.self.Name {
			t.entry(now, name).reportedAt = now
		}
	}
}

// RecordFailure records that a node didn't answer.
func (t *Topology) RecordFailure(now time.Time, name string) {
	if e, ok := t.nodes[name]; ok {
		e.backoff = min(max(2*e.backoff, minBackoff), maxBackoff)
		e.retryAt = now.Add(e.backoff)
	}
}

// Remove removes a node that is shutting down.
func (t *Topology) Remove(name string) { delete(t.nodes, name) }

// StatusChange is a node that has come up or gone silent.
type StatusChange struct {
	Name string
	// Up is true if the node has come up, false if it has gone silent.
	Up bool
	// Silent is the time since the node was last seen.
	Silent time.Duration
}

// Expire removes nodes that were not seen for long, and returns the nodes that
// have come up or gone silent since the last call.
func (t *Topology) Expire(now time.Time) []StatusChange {
	var changed []StatusChange
	for _, name := range slices.Sorted(maps.Keys(t.nodes)) {
		e := t.nodes[name]
		silent := now.Sub(e.lastSeen())
		if up := e.alive(now); up != e.up {
			e.up = up
			changed = append(changed, StatusChange{Name: name, Up: up, Silent: silent})
		}
		if silent > removeAfter {
			delete(t.nodes, name)
		}
	}
	return changed
}

// Count returns the number of nodes that may be running, this one included.
func (t *Topology) Count() int { return 1 + len(t.nodes) }

// Seen returns the sorted names of the nodes that were seen within the given time, this
// one included. Placeholders of nodes whose names aren't known yet are left out.
func (t *Topology) Seen(now time.Time, within time.Duration) []string {
	names := []string{t.self.Name}
	for name, e := range t.nodes {
		if !e.Seed && now.Sub(e.lastSeen()) <= within {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Up returns the other nodes that are up, sorted by name.
func (t *Topology) Up(now time.Time) []Node {
	var up []Node
	for _, name := range slices.Sorted(maps.Keys(t.nodes)) {
		if e := t.nodes[name]; e.alive(now) {
			up = append(up, e.Node)
		}
	}
	return up
}

// Expected returns the other nodes that are up or may be about to be, sorted by name:
// those that were added a short time ago and have not failed to answer. Nodes that start
// at once expect the same nodes before they have exchanged any message.
func (t *Topology) Expected(now time.Time) []Node {
	var expected []Node
	for _, name := range slices.Sorted(maps.Keys(t.nodes)) {
		e := t.nodes[name]
		fresh := !e.Seed && e.backoff == 0 && now.Sub(e.addedAt) < startTime
		if e.alive(now) || fresh {
			expected = append(expected, e.Node)
		}
	}
	return expected
}

// Strongest returns the names of the count strongest nodes that are up, this one
// included.
func (t *Topology) Strongest(now time.Time, count int) []string {
	best := make([]Node, 0, count+1)
	add := func(n Node) {
		if len(best) == count && (count == 0 || byStrength(best[count-1], n) < 0) {
			return
		}
		at, _ := slices.BinarySearchFunc(best, n, byStrength)
		best = slices.Insert(best, at, n)
		best = best[:min(count, len(best))]
	}
	add(t.self)
	for _, e := range t.nodes {
		if e.alive(now) {
			add(e.Node)
		}
	}
	names := make([]string, len(best))
	for i, n := range best {
		names[i] = n.Name
	}
	return names
}

func byStrength(a, b Node) int {
	return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(a.Name, b.Name))
}

// Parent returns the name of this node's parent; false if it is a root or part
// of a full mesh.
func (t *Topology) Parent(now time.Time) (string, bool) {
	if t.IsMesh() {
		return "", false
	}
	best := t.self
	for _, e := range t.nodes {
		if e.DataCentre == t.self.DataCentre && t.electable(now, e) && byStrength(e.Node, best) < 0 {
			best = e.Node
		}
	}
	if best.Name == t.self.Name {
		return "", false
	}
	return best.Name, true
}

// IsMesh reports whether the nodes are few enough to form a full mesh.
func (t *Topology) IsMesh() bool { return t.Count() <= maxMeshNodes }

// electable reports whether a node may be chosen as a root: it is up, or was
// added recently and has not failed yet, and no backoff is running.
func (t *Topology) electable(now time.Time, e *entry) bool {
	return !now.Before(e.retryAt) && (e.alive(now) || e.backoff == 0 && now.Sub(e.addedAt) < removeAfter)
}

// Receivers returns the nodes to send to now: the parent, else all other roots, or
// in a full mesh all other nodes.
func (t *Topology) Receivers(now time.Time) []string {
	if parent, ok := t.Parent(now); ok {
		return []string{parent}
	}
	receivers := map[string]bool{}
	best := map[string]Node{}
	for name, e := range t.nodes {
		if t.IsMesh() || now.Sub(e.rootAt) < messageMaxAge {
			receivers[name] = true
		}
		if e.DataCentre == t.self.DataCentre || e.DataCentre == "" || !t.electable(now, e) {
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
func (t *Topology) Knows(name string) bool { return t.nodes[name] != nil }

// Alive reports whether a node is up, by its own messages or by reports of
// others.
func (t *Topology) Alive(now time.Time, name string) bool {
	e, ok := t.nodes[name]
	return ok && e.alive(now)
}

// IsSeed reports whether a node is a placeholder of which only the address is
// known.
func (t *Topology) IsSeed(name string) bool {
	e, ok := t.nodes[name]
	return ok && e.Seed
}

// Probe returns the strongest silent node of this data centre that is stronger
// than the parent, or than this node if it is a root, and may be back. It has
// to be probed, because no other message would reveal that it is back.
func (t *Topology) Probe(now time.Time) (string, bool) {
	if t.IsMesh() {
		return "", false
	}
	above := t.self
	if parent, ok := t.Parent(now); ok {
		above = t.nodes[parent].Node
	}
	var best *entry
	for _, e := range t.nodes {
		if e.DataCentre != t.self.DataCentre || e.alive(now) || now.Before(e.retryAt) || byStrength(e.Node, above) > 0 || e.Name == above.Name {
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
func (t *Topology) IsChild(now time.Time, name string) bool {
	e, ok := t.nodes[name]
	return ok && now.Sub(e.childAt) < messageMaxAge
}

// HasChildren reports whether this node has any children.
func (t *Topology) HasChildren(now time.Time) bool {
	for name := range t.nodes {
		if t.IsChild(now, name) {
			return true
		}
	}
	return false
}

// UpNames returns the names of nodes to report as up: this node and its children,
// or all nodes that are up if down is true, that is for a report to a child.
func (t *Topology) UpNames(now time.Time, down bool) []string {
	names := []string{t.self.Name}
	for name, e := range t.nodes {
		if now.Sub(e.childAt) < messageMaxAge || down && e.alive(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
