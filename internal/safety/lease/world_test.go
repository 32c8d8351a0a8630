package lease_test

import (
	"errors"
	"strconv"
	"time"

	"github.com/cicadamill/cicadamill/internal/safety/lease"
)

const (
	tick     = time.Second
	term     = 2 * tick
	maxOrder = tick
	maxBeats = 2
)

type planted int

const (
	none planted = iota
	checkedBeforeTheWait
	countedFromTheReply
	writeWithoutCondition
	oldVersionWatched
	deadlineOutsideTheLease
	orderHeldForEver
)

type order struct {
	fence    uint64
	deadline int
	// waits is true when it was checked but has not left yet.
	waits bool
}

type node struct {
	state   lease.State
	pending lease.Command
	// reply is what the table has answered but the node has not seen yet.
	reply lease.Message
	// replied is when the node saw that its last write took effect.
	replied int
	orders  order
	beats   int
}

// world is the row, two nodes and one engine that checks no fencing number.
type world struct {
	fault  planted
	fences bool
	tick   int
	last   int
	faults int
	row    lease.Row
	newRow uint64
	nodes  [2]node
	// newest is the highest fencing number that the engine obeyed, and stale is
	// true once it obeyed a lower one after it.
	newest uint64
	stale  bool
}

// start returns a world in which the first node moves first; the nodes are alike.
func start(fault planted, fences bool, last, faults int) world {
	w := world{fault: fault, fences: fences, last: last, faults: faults}
	for i := range w.nodes {
		w.nodes[i].state = lease.New(strconv.Itoa(i), term)
	}
	return w.tell(0, lease.Tick{})
}

func (w world) now() time.Time { return time.Unix(1000, 0).Add(time.Duration(w.tick) * tick) }

// check is the invariant.
func (w world) check() error {
	if w.stale {
		return errors.New("an engine obeyed an old holder after a new one")
	}
	if w.grant(0).Covers(w.now(), 0) && w.grant(1).Covers(w.now(), 0) {
		return errors.New("two nodes hold the lease")
	}
	return nil
}

// next lists every step. A node that takes no step while time passes is paused.
func (w world) next() []world {
	var all []world
	if w.tick < w.last && !w.dueOrder() {
		passed := w
		passed.tick++
		all = append(all, passed)
	}
	for i := range w.nodes {
		all = append(all, w.operate(i)...)
		all = append(all, w.orders(i)...)
	}
	return all
}

// dueOrder holds time back while an order is at the end of its deadline, unless
// the engine checks fencing numbers, which need no deadline.
func (w world) dueOrder() bool {
	if w.fences || w.fault == orderHeldForEver {
		return false
	}
	for _, n := range w.nodes {
		if n.orders.fence > 0 && !n.orders.waits && w.tick >= n.orders.deadline {
			return true
		}
	}
	return false
}

func (w world) operate(i int) []world {
	n := w.nodes[i]
	if n.reply != nil {
		return []world{w.tell(i, n.reply)}
	}
	switch c := n.pending.(type) {
	case lease.Read:
		all := []world{w.answer(i, w.row)}
		if w.faults > 0 {
			w.faults--
			all = append(all, w.answer(i, lease.Down{}))
		}
		return all
	case lease.Write:
		return w.writes(i, c)
	default:
		ticked := w.tell(i, lease.Tick{})
		if ticked == w {
			return nil
		}
		return []world{ticked}
	}
}

func (w world) answer(i int, reply lease.Message) world {
	w.nodes[i].reply = reply
	return w
}

func (w world) writes(i int, c lease.Write) []world {
	applied := w
	ok := w.row.Version == c.IfVersion || w.fault == writeWithoutCondition
	if ok {
		applied.newRow++
		applied.row = lease.Row{Record: c.Record, Version: applied.newRow}
	}
	var all []world
	if ok {
		all = append(all, applied.answer(i, lease.Written{}))
	} else {
		all = append(all, w.answer(i, lease.Unsure{}))
	}
	if w.faults > 0 {
		w.faults--
		applied.faults--
		all = append(all, applied.answer(i, lease.Unsure{}), w.answer(i, lease.Unsure{}), w.answer(i, lease.Down{}))
	}
	return all
}

// grant is a node's right to act as it sees it.
func (w world) grant(i int) lease.Grant {
	grant := w.nodes[i].state.Grant()
	if w.fault == countedFromTheReply {
		grant.Since = time.Unix(1000, 0).Add(time.Duration(w.nodes[i].replied) * tick)
	}
	return grant
}

func (w world) orders(i int) []world {
	n := &w.nodes[i]
	grant := w.grant(i)
	switch {
	case n.orders.fence == 0:
		if !w.may(grant) {
			return nil
		}
		n.orders = order{fence: grant.Fence, deadline: w.tick + w.orderTicks(), waits: w.fault == checkedBeforeTheWait}
		return []world{w}
	case n.orders.waits:
		n.orders.waits = false
		n.orders.deadline = w.tick + w.orderTicks()
		return []world{w}
	default:
		lost := w
		lost.nodes[i].orders = order{}
		return []world{lost, w.arrive(i)}
	}
}

// orderTicks is the longest time that an order is under way.
func (w world) orderTicks() int {
	if w.fault == deadlineOutsideTheLease {
		return int(term / tick)
	}
	return int(maxOrder / tick)
}

// may is what a holder asks right before it sends an order.
func (w world) may(grant lease.Grant) bool {
	need := time.Duration(0)
	if !w.fences && w.fault != deadlineOutsideTheLease {
		need = maxOrder
	}
	return grant.Covers(w.now(), need)
}

func (w world) arrive(i int) world {
	fence := w.nodes[i].orders.fence
	w.nodes[i].orders = order{}
	if w.fences && fence < w.newest {
		return w
	}
	w.stale = w.stale || fence < w.newest
	w.newest = max(w.newest, fence)
	return w
}

func (w world) tell(i int, message lease.Message) world {
	n := &w.nodes[i]
	n.pending, n.reply = nil, nil
	if _, ok := message.(lease.Written); ok && w.fault == countedFromTheReply {
		n.replied = w.tick
	}
	other := w.row.Record.Holder != strconv.Itoa(i)
	if row, ok := message.(lease.Row); ok && w.fault == oldVersionWatched && other {
		row.Version = min(row.Version, 1)
		message = row
	}
	var commands []lease.Command
	n.state, commands = n.state.Update(w.now(), message)
	for _, command := range commands {
		c, ok := command.(lease.Write)
		if !ok {
			n.pending = command
			continue
		}
		n.beats++
		if w.fault == oldVersionWatched && other {
			c.IfVersion, c.Record.Fence = w.row.Version, w.row.Version+1
		}
		if n.beats <= maxBeats {
			n.pending = c
		}
	}
	return w
}
