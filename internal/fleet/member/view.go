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
	// ChangedAt is the time of the last change of state; zero for this node.
	ChangedAt time.Time
}

// Up reports whether the node can be given work.
func (n Node) Up() bool { return n.State == note.Alive || n.State == note.Suspect }

// Nodes returns every node, this one first and the others by name. A node that
// the platform's list shows as leaving counts as leaving.
func (v View) Nodes() []Node {
	nodes := []Node{{Entry: v.self, Self: true}}
	for _, p := range v.sorted {
		n := Node{Entry: p.entry, ChangedAt: p.changedAt}
		if p.listedLeaving && n.Up() {
			n.State = note.Leaving
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// TargetLeaving reports whether a target must get no new work. An empty
// incarnation means the one last seen.
func (v View) TargetLeaving(target, incarnation string) bool {
	return v.marks.Leaving(target, incarnation)
}

// LeavingTargets returns the names of the targets that must get no new work.
func (v View) LeavingTargets() []string { return v.marks.LeavingTargets() }

// Address returns the address of a node, and whether it is this node.
func (v View) Address(name string) (string, bool) {
	if name == v.self.Name {
		return v.self.Address, true
	}
	if p, ok := v.members[name]; ok {
		return p.entry.Address, false
	}
	return "", false
}
