// Package queue holds waiting requests and hands them out fairly: each flow
// gets its share of the work while all wait, and unused shares are lent to the
// flows that have requests. It is start-time fair queueing.
package queue

import (
	"cmp"
	"slices"
)

// scanned is the number of a flow's oldest items that are compared.
const scanned = 32

const (
	// burst is the work that a flow may bring at once after it was idle, before
	// it waits for its share.
	burst = 40000.0
	// keptFlows bounds the idle flows that are remembered.
	keptFlows = 4096
)

// Item is a waiting request.
type Item struct {
	// ID identifies the request.
	ID string
	// Flow names the workspace and class that it counts for.
	Flow string
	// Weight is the flow's share.
	Weight float64
	// Cost is the work that it brings, in tokens.
	Cost int
}

// Queue is a fair queue. Its zero value is empty and usable.
//
//	var q queue.Queue
//	q.Push(queue.Item{ID: "a", Flow: "members", Weight: 2, Cost: 400})
//	item, ok := q.Next(func(queue.Item) (float64, bool) { return 0, true })
//	q.Take(item)
type Queue struct {
	flows map[string]*flow
	// names are the flows that have items, in order.
	names  []string
	order  []string
	now    float64
	length int
	cost   int
}

type flow struct {
	items  []Item
	finish float64
	weight float64
	cost   int
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// Cost returns the work of all waiting items.
func (q *Queue) Cost() int { return q.cost }

// Push adds an item at the end of its flow.
func (q *Queue) Push(item Item) {
	if q.flows == nil {
		q.flows = map[string]*flow{}
	}
	f, ok := q.flows[item.Flow]
	if !ok {
		q.trim()
		f = &flow{finish: q.now - burst/item.Weight}
		q.flows[item.Flow] = f
	}
	if len(f.items) == 0 {
		at, _ := slices.BinarySearch(q.names, item.Flow)
		q.names = slices.Insert(q.names, at, item.Flow)
		f.finish = max(f.finish, q.now-burst/item.Weight)
	}
	f.weight = item.Weight
	f.items = append(f.items, item)
	f.cost += item.Cost
	q.length++
	q.cost += item.Cost
}

// Next returns the item that should run next and leaves it in the queue. The
// flow is the first in fair order that has an item which may run; within it,
// rank decides among the oldest items: the highest goes first. The second result
// of rank is false for an item that may not run now.
func (q *Queue) Next(rank func(Item) (float64, bool)) (Item, bool) {
	q.order = append(q.order[:0], q.names...)
	slices.SortStableFunc(q.order, func(a, b string) int { return cmp.Compare(q.flows[a].finish, q.flows[b].finish) })
	for _, name := range q.order {
		f := q.flows[name]
		if at := best(f.items[:min(len(f.items), scanned)], rank); at >= 0 {
			return f.items[at], true
		}
	}
	return Item{}, false
}

// Take removes an item that runs now and charges its flow for it.
func (q *Queue) Take(item Item) {
	f, ok := q.flows[item.Flow]
	if !ok {
		return
	}
	q.now = max(q.now, f.finish)
	f.finish += float64(item.Cost) / item.Weight
	q.Remove(item)
}

func best(items []Item, rank func(Item) (float64, bool)) int {
	at, highest := -1, 0.0
	for i, item := range items {
		if r, may := rank(item); may && (at < 0 || r > highest) {
			at, highest = i, r
		}
	}
	return at
}

// Remove takes an item out without charging its flow.
func (q *Queue) Remove(item Item) bool {
	f, ok := q.flows[item.Flow]
	if !ok {
		return false
	}
	at := slices.IndexFunc(f.items, func(i Item) bool { return i.ID == item.ID })
	if at < 0 {
		return false
	}
	q.take(f, at)
	return true
}

// Ahead returns the work that will be done before a new item of a flow: that of
// the flow itself and what the other flows are owed until its turn.
func (q *Queue) Ahead(name string, weight float64) int {
	turn, own := q.now-burst/weight, 0
	if f, ok := q.flows[name]; ok {
		own = f.cost
		turn = max(f.finish, turn) + float64(own)/weight
	}
	ahead := own
	for _, other := range q.names {
		f := q.flows[other]
		if other == name || f.finish >= turn {
			continue
		}
		ahead += min(f.cost, int((turn-f.finish)*f.weight))
	}
	return ahead
}

// Behind reports whether a flow has had less than its share lately.
func (q *Queue) Behind(name string) bool {
	f, ok := q.flows[name]
	return !ok || f.finish < q.now
}

// IDs returns the IDs of all waiting items, flow by flow.
func (q *Queue) IDs() []string {
	ids := make([]string, 0, q.length)
	for _, name := range q.names {
		for _, item := range q.flows[name].items {
			ids = append(ids, item.ID)
		}
	}
	return ids
}

func (q *Queue) take(f *flow, at int) {
	q.cost -= f.items[at].Cost
	f.cost -= f.items[at].Cost
	q.length--
	name := f.items[at].Flow
	f.items = slices.Delete(f.items, at, at+1)
	if len(f.items) > 0 {
		return
	}
	if i, ok := slices.BinarySearch(q.names, name); ok {
		q.names = slices.Delete(q.names, i, i+1)
	}
	if f.finish <= q.now-burst/f.weight {
		delete(q.flows, name)
	}
}

// trim forgets idle flows when too many are remembered.
func (q *Queue) trim() {
	if len(q.flows) <= keptFlows {
		return
	}
	for name, f := range q.flows {
		if len(f.items) == 0 {
			delete(q.flows, name)
		}
	}
}
