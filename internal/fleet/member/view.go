package member

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/peer/note"
)

// Node is what the slice thinks of one node.
type Node struct {
	note.Entry
	// Self is true for this node.
	Self bool
	// Since is when the state changed last; zero for this node.
	Since time.Time
}

// Up reports whether work may be handed to the node.
func (n Node) Up() bool { return n.State == note.Alive || n.State == note.Suspect }

// Nodes returns every node, this one first and the others by name. A node that
// the platform's list shows as leaving counts as leaving.
func (s State) Nodes() []Node {
	nodes := []Node{{Entry: s.self, Self: true}}
	for _, p := range s.order {
		n := Node{Entry: p.entry, Since: p.changed}
		if p.listedLeaving && n.Up() {
			n.State = note.Leaving
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// TargetLeaving reports whether a target may get no new work. An empty
// incarnation means the one seen last.
func (s State) TargetLeaving(target, incarnation string) bool {
	return s.marks.Leaving(target, incarnation)
}

// LeavingTargets returns the names of the targets that may get no new work.
func (s State) LeavingTargets() []string { return s.marks.Names() }

// Address returns where other nodes reach a node, and whether it is this one.
func (s State) Address(name string) (string, bool) {
	if name == s.self.Name {
		return s.self.Address, true
	}
	if p, ok := s.members[name]; ok {
		return p.entry.Address, false
	}
	return "", false
}
