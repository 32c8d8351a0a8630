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

// injectedFault is a fault added to the model around [lease.State], to show that
// the check detects it.
type injectedFault int

const (
	noFault injectedFault = iota
	checkedBeforeWait
	termFromReply
	writeWithoutCondition
	staleVersionWatched
	deadlineOutsideLease
	orderWithoutDeadline
)

type order struct {
	fence    uint64
	deadline int
	// delayed is true if the lease was checked for the order, but the order has
	// not been sent yet.
	delayed bool
}

type node struct {
	state   lease.State
	pending lease.Command
	// reply is the table's reply that the node has not processed yet.
	reply lease.Message
	// confirmedTick is when the node processed the reply to its last successful
	// write.
	confirmedTick int
	orders        order
	beats         int
}

// world models the row of the lease, two nodes and one engine.
type world struct {
	fault       injectedFault
	fences      bool
	tick        int
	lastTick    int
	faults      int
	row         lease.Row
	lastVersion uint64
	nodes       [2]node
	// highestFence is the highest fencing token that the engine has obeyed;
	// obeyedStale is true once it obeyed a lower one afterwards.
	highestFence uint64
	obeyedStale  bool
}

// start returns the initial state. The nodes are identical, so it is enough to
// let the first one take the first step.
func start(fault injectedFault, fences bool, last, faults int) world {
	w := world{fault: fault, fences: fences, lastTick: last, faults: faults}
	for i := range w.nodes {
		w.nodes[i].state = lease.New(strconv.Itoa(i), term)
	}
	return w.deliver(0, lease.Tick{})
}

func (w world) now() time.Time { return time.Unix(1000, 0).Add(time.Duration(w.tick) * tick) }

// check returns an error if an invariant is violated.
func (w world) check() error {
	if w.obeyedStale {
		return errors.New("an engine obeyed an old holder after a new one")
	}
	if w.grant(0).Covers(w.now(), 0) && w.grant(1).Covers(w.now(), 0) {
		return errors.New("two nodes hold the lease")
	}
	return nil
}

// next returns all successor states. A pause of a node is a sequence in which
// time advances and the node takes no step.
func (w world) next() []world {
	var all []world
	if w.tick < w.lastTick && !w.orderDue() {
		advanced := w
		advanced.tick++
		all = append(all, advanced)
	}
	for i := range w.nodes {
		all = append(all, w.tableSteps(i)...)
		all = append(all, w.orderSteps(i)...)
	}
	return all
}

// orderDue reports whether an order has reached its deadline, so that time can't
// advance before it arrives or is lost. Engines that check fencing tokens need no
// deadline.
func (w world) orderDue() bool {
	if w.fences || w.fault == orderWithoutDeadline {
		return false
	}
	for _, n := range w.nodes {
		if n.orders.fence > 0 && !n.orders.delayed && w.tick >= n.orders.deadline {
			return true
		}
	}
	return false
}

func (w world) tableSteps(i int) []world {
	n := w.nodes[i]
	if n.reply != nil {
		return []world{w.deliver(i, n.reply)}
	}
	switch c := n.pending.(type) {
	case lease.Read:
		all := []world{w.withReply(i, w.row)}
		if w.faults > 0 {
			w.faults--
			all = append(all, w.withReply(i, lease.Unavailable{}))
		}
		return all
	case lease.Write:
		return w.writes(i, c)
	default:
		ticked := w.deliver(i, lease.Tick{})
		if ticked == w {
			return nil
		}
		return []world{ticked}
	}
}

func (w world) withReply(i int, reply lease.Message) world {
	w.nodes[i].reply = reply
	return w
}

func (w world) writes(i int, c lease.Write) []world {
	applied := w
	ok := w.row.Version == c.IfVersion || w.fault == writeWithoutCondition
	if ok {
		applied.lastVersion++
		applied.row = lease.Row{Record: c.Record, Version: applied.lastVersion}
	}
	var all []world
	if ok {
		all = append(all, applied.withReply(i, lease.Written{}))
	} else {
		all = append(all, w.withReply(i, lease.Unsure{}))
	}
	if w.faults > 0 {
		w.faults--
		applied.faults--
		all = append(all, applied.withReply(i, lease.Unsure{}), w.withReply(i, lease.Unsure{}), w.withReply(i, lease.Unavailable{}))
	}
	return all
}

// grant returns a node's own view of its grant.
func (w world) grant(i int) lease.Grant {
	grant := w.nodes[i].state.Grant()
	if w.fault == termFromReply {
		grant.Since = time.Unix(1000, 0).Add(time.Duration(w.nodes[i].confirmedTick) * tick)
	}
	return grant
}

func (w world) orderSteps(i int) []world {
	n := &w.nodes[i]
	grant := w.grant(i)
	switch {
	case n.orders.fence == 0:
		if !w.maySend(grant) {
			return nil
		}
		n.orders = order{fence: grant.Fence, deadline: w.tick + w.maxOrderTicks(), delayed: w.fault == checkedBeforeWait}
		return []world{w}
	case n.orders.delayed:
		n.orders.delayed = false
		n.orders.deadline = w.tick + w.maxOrderTicks()
		return []world{w}
	default:
		lost := w
		lost.nodes[i].orders = order{}
		return []world{lost, w.arrive(i)}
	}
}

// maxOrderTicks is the longest time between sending an order and its arrival.
func (w world) maxOrderTicks() int {
	if w.fault == deadlineOutsideLease {
		return int(term / tick)
	}
	return int(maxOrder / tick)
}

// maySend is the check that a holder makes right before it sends an order.
func (w world) maySend(grant lease.Grant) bool {
	need := time.Duration(0)
	if !w.fences && w.fault != deadlineOutsideLease {
		need = maxOrder
	}
	return grant.Covers(w.now(), need)
}

func (w world) arrive(i int) world {
	fence := w.nodes[i].orders.fence
	w.nodes[i].orders = order{}
	if w.fences && fence < w.highestFence {
		return w
	}
	w.obeyedStale = w.obeyedStale || fence < w.highestFence
	w.highestFence = max(w.highestFence, fence)
	return w
}

func (w world) deliver(i int, message lease.Message) world {
	n := &w.nodes[i]
	n.pending, n.reply = nil, nil
	if _, ok := message.(lease.Written); ok && w.fault == termFromReply {
		n.confirmedTick = w.tick
	}
	other := w.row.Record.Holder != strconv.Itoa(i)
	if row, ok := message.(lease.Row); ok && w.fault == staleVersionWatched && other {
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
		if w.fault == staleVersionWatched && other {
			c.IfVersion, c.Record.Fence = w.row.Version, w.row.Version+1
		}
		if n.beats <= maxBeats {
			n.pending = c
		}
	}
	return w
}
