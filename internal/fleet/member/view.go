package member

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/peer/note"
)

// Node is the state of one node in this node's view.
type Node struct {
	note.Entry
	// Self is true for this node.
	Self bool
	// Since is the time of the last change of state; zero for this node.
	Since time.Time
}

// Up reports whether the node can be given work.
func (n Node) Up() bool { return n.State == note.Alive || n.State == note.Suspect }

// Nodes returns every node, this one first and the others by name. A node that
// the platform's list shows as leaving counts as leaving.
func (s State) Nodes() []Node {
	nodes := []Node{{Entry: s.self, Self: true}}
	for _, p := range s.sorted {
		n := Node{Entry: p.entry, Since: p.changedAt}
		if p.listedLeaving && n.Up() {
			n.State = note.Leaving
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// TargetLeaving reports whether a target must get no new work. An empty
// incarnation means the one last seen.
func (s State) TargetLeaving(target, incarnation string) bool {
	return s.marks.Leaving(target, incarnation)
}

// LeavingTargets returns the names of the targets that must get no new work.
func (s State) LeavingTargets() []string { return s.marks.Names() }

// Address returns the address of a node, and whether it is this node.
func (s State) Address(name string) (string, bool) {
	if name == s.self.Name {
		return s.self.Address, true
	}
	if p, ok := s.members[name]; ok {
		return p.entry.Address, false
	}
	return "", false
}
