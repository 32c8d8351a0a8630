package queue

import (
	"container/heap"
	"time"
)

// item is an entry in its flow.
type item struct {
	Entry
	seq   uint64
	group *group
	flow  *flow
	late  bool
	index int
}

// itemHeap orders the entries of a flow: those of returned clients first, then by the
// time by which they must start, or by deadline if they are late.
type itemHeap []*item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.Returned != b.Returned {
		return a.Returned
	}
	at, bt := a.StartBy, b.StartBy
	if a.late {
		at, bt = a.Deadline, b.Deadline
	}
	if !at.Equal(bt) {
		return at.Before(bt)
	}
	return a.seq < b.seq
}

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements [heap.Interface].
func (h *itemHeap) Push(x any) {
	it, _ := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements [heap.Interface].
func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}

// flow holds the entries of one workspace in a class.
type flow struct {
	counter *counter
	// key is the counter's value at which the flow was put in its class's order. The
	// counter may have grown since.
	key   float64
	seq   uint64
	index int
	items itemHeap
}

func (f *flow) before(other *flow) bool {
	if f.key != other.key {
		return f.key < other.key
	}
	return f.seq < other.seq
}

// flowHeap orders the flows of a class by what their workspaces have used.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements [heap.Interface].
func (h *flowHeap) Push(x any) {
	f, _ := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements [heap.Interface].
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}

// class holds the entries of a lane that can be on time, or those that will be late.
type class struct {
	flows  flowHeap
	byName map[string]*flow
}

func (c *class) add(of *counter, it *item) {
	f, ok := c.byName[of.name]
	if !ok {
		if c.byName == nil {
			c.byName = map[string]*flow{}
		}
		f = &flow{counter: of, key: of.used, seq: it.seq}
		c.byName[of.name] = f
		heap.Push(&c.flows, f)
	}
	it.flow = f
	heap.Push(&f.items, it)
}

func (c *class) remove(it *item) {
	f := it.flow
	heap.Remove(&f.items, it.index)
	if len(f.items) == 0 {
		heap.Remove(&c.flows, f.index)
		delete(c.byName, f.counter.name)
	}
}

// first returns the flow whose workspace has used the least; nil if there is none.
// Counters only grow, so that flows with an outdated key move back until the first one is
// current.
func (c *class) first() *flow {
	if len(c.flows) == 0 {
		return nil
	}
	for {
		f := c.flows[0]
		if f.key >= f.counter.used {
			return f
		}
		f.key = f.counter.used
		heap.Fix(&c.flows, 0)
	}
}

// lane holds the entries of one rank in a group.
type lane struct{ onTime, late class }

func (l *lane) class(late bool) *class {
	if late {
		return &l.late
	}
	return &l.onTime
}

// moveLate moves the entries of a flow that can no longer be on time to the late ones.
// Those behind entries of returned clients are moved once they come first. It reports
// whether any is left.
func (l *lane) moveLate(f *flow, now time.Time) bool {
	for len(f.items) > 0 && now.After(f.items[0].StartBy) {
		it := f.items[0]
		l.onTime.remove(it)
		it.late = true
		l.late.add(f.counter, it)
		it.group.counts[it.Rank].LateTokens += it.Tokens
		it.group.queue.turnedLate = append(it.group.queue.turnedLate, it)
	}
	return len(f.items) > 0
}

// first returns the flow of a class to offer; nil if there is none.
func (l *lane) first(now time.Time, late bool) *flow {
	if late {
		return l.late.first()
	}
	for {
		f := l.onTime.first()
		if f == nil || l.moveLate(f, now) {
			return f
		}
	}
}
