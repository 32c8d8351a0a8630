// Package oplog implements a bounded log of updates that a node sends to its
// peers. The sender keeps a position for each peer and sends it only later
// entries.
package oplog

import "math"

// FromNow is the initial position of a peer that gets only entries added from now
// on.
const FromNow uint64 = math.MaxUint64

// Recipient describes a peer that entries are sent to.
type Recipient struct {
	// Node is the peer's name. It doesn't get its own entries back.
	Node string
	// Child is true for a child of this node, which gets all entries. Other
	// peers get only those of this node and its children.
	Child bool
}

// Origin describes the node that an entry comes from.
type Origin struct {
	// Node is the node's name; empty for this node.
	Node string
	// Child is true for a child of this node.
	Child bool
}

// VisibleTo reports whether entries of an origin are sent to a recipient.
func (o Origin) VisibleTo(to Recipient) bool {
	if to.Child {
		return o.Node != to.Node
	}
	return o.Node == "" || o.Child
}

// Log is a bounded log. See [New].
type Log[T any] struct {
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
//	log := oplog.New[string](100)
//	log.Add(oplog.Origin{}, "engine-1 is down")
//	entries, next := log.Since(0, oplog.Recipient{Node: "b"})
func New[T any](limit int) *Log[T] { return &Log[T]{limit: limit} }

// Add appends an entry.
func (l *Log[T]) Add(origin Origin, value T) {
	l.entries = append(l.entries, entry[T]{origin, value})
	// Keep up to twice the limit, so that entries are rarely copied.
	if len(l.entries) > 2*l.limit {
		dropped := len(l.entries) - l.limit
		l.entries = append(l.entries[:0:0], l.entries[dropped:]...)
		l.first += uint64(dropped)
	}
}

// oldest returns the position of the oldest entry that is returned.
func (l *Log[T]) oldest() uint64 {
	end := l.first + uint64(len(l.entries))
	return max(l.first, end-min(end, uint64(l.limit)))
}

// Has reports whether the log still has all entries from a position on.
func (l *Log[T]) Has(position uint64) bool { return position >= l.oldest() }

// Since returns the entries for a recipient from a position on, and the
// position after the last entry. For a position beyond the end, which a peer
// may have after this node has restarted, it returns no entries.
func (l *Log[T]) Since(position uint64, recipient Recipient) ([]T, uint64) {
	return l.Page(position, recipient, math.MaxInt)
}

// Page is like Since for at most the given number of entries. The position that it
// returns is after the last of them, so that a recipient gets a long log in parts.
func (l *Log[T]) Page(position uint64, recipient Recipient, most int) ([]T, uint64) {
	end := l.first + uint64(len(l.entries))
	if position >= end {
		return nil, end
	}
	var values []T
	for next := max(position, l.oldest()); next < end; next++ {
		e := l.entries[next-l.first]
		if !e.origin.VisibleTo(recipient) {
			continue
		}
		if len(values) == most {
			return values, next
		}
		values = append(values, e.value)
	}
	return values, end
}
