// Package trail implements a bounded log of updates that a node sends to its
// peers. The sender keeps a position for each peer and sends it only later
// entries.
package trail

import "math"

// Fresh is the initial position of a peer that gets only entries added from now
// on.
const Fresh uint64 = math.MaxUint64

// Audience describes a peer that entries are sent to.
type Audience struct {
	// Node is the peer's name. It doesn't get its own entries back.
	Node string
	// Down is true for a child of this node, which gets all entries. Other
	// peers get only those of this node and its children.
	Down bool
}

// Origin describes the node that an entry comes from.
type Origin struct {
	// Node is the node's name; empty for this node.
	Node string
	// Group is true for a child of this node.
	Group bool
}

// Tells reports whether entries of an origin are sent to an audience.
func (o Origin) Tells(a Audience) bool {
	if a.Down {
		return o.Node != a.Node
	}
	return o.Node == "" || o.Group
}

// Trail is a bounded log. See [New].
type Trail[T any] struct {
	limit int
	// first is the position of entries[0].
	first   uint64
	entries []entry[T]
}

type entry[T any] struct {
	origin Origin
	value  T
}

// New returns an empty log that keeps the last limit entries.
//
//	log := trail.New[string](100)
//	log.Add(trail.Origin{}, "engine-1 is down")
//	entries, next := log.Since(0, trail.Audience{Node: "b"})
func New[T any](limit int) *Trail[T] { return &Trail[T]{limit: limit} }

// Add appends an entry.
func (t *Trail[T]) Add(origin Origin, value T) {
	t.entries = append(t.entries, entry[T]{origin, value})
	// Keep up to twice the limit, so that entries are rarely copied.
	if len(t.entries) > 2*t.limit {
		dropped := len(t.entries) - t.limit
		t.entries = append(t.entries[:0:0], t.entries[dropped:]...)
		t.first += uint64(dropped)
	}
}

// Since returns the entries for an audience from a position on, and the
// position after the last entry. For a position beyond the end, which a peer
// may have after this node has restarted, it returns no entries.
func (t *Trail[T]) Since(position uint64, audience Audience) ([]T, uint64) {
	end := t.first + uint64(len(t.entries))
	if position >= end {
		return nil, end
	}
	oldest := max(t.first, end-min(end, uint64(t.limit)))
	var values []T
	for _, e := range t.entries[max(position, oldest)-t.first:] {
		if e.origin.Tells(audience) {
			values = append(values, e.value)
		}
	}
	return values, end
}
