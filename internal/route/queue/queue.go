// Package queue holds waiting requests and hands them out fairly: each flow
// gets its share of the work while all wait, and unused shares are lent to the
// flows that have requests. It is start-time fair queueing.
package queue

import (
	"slices"
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
//	item, ok := q.Pop(func(queue.Item) bool { return true })
type Queue struct {
	flows  map[string]*flow
	names  []string
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
		f = &flow{finish: q.now}
		q.flows[item.Flow] = f
		at, _ := slices.BinarySearch(q.names, item.Flow)
		q.names = slices.Insert(q.names, at, item.Flow)
	}
	if len(f.items) == 0 {
		f.finish = max(f.finish, q.now)
	}
	f.weight = item.Weight
	f.items = append(f.items, item)
	f.cost += item.Cost
	q.length++
	q.cost += item.Cost
}

// Pop removes and returns the first item, in fair order, that may run. Within
// a flow an item that may not run lets those behind it pass.
func (q *Queue) Pop(may func(Item) bool) (Item, bool) {
	order := slices.Clone(q.names)
	slices.SortStableFunc(order, func(a, b string) int { return compare(q.flows[a].finish, q.flows[b].finish) })
	for _, name := range order {
		f := q.flows[name]
		at := slices.IndexFunc(f.items, may)
		if at < 0 {
			continue
		}
		item := f.items[at]
		q.now = max(q.now, f.finish)
		f.finish += float64(item.Cost) / item.Weight
		q.take(name, at)
		return item, true
	}
	return Item{}, false
}

// Remove takes an item out, wherever it stands.
func (q *Queue) Remove(id string) bool {
	for _, name := range q.names {
		at := slices.IndexFunc(q.flows[name].items, func(i Item) bool { return i.ID == id })
		if at >= 0 {
			q.take(name, at)
			return true
		}
	}
	return false
}

// Ahead returns the work that will be done before a new item of a flow: that of
// the flow itself and the part that the other flows get meanwhile.
func (q *Queue) Ahead(name string, weight float64) int {
	own, weights := 0, 0.0
	if f, ok := q.flows[name]; ok {
		own = f.cost
	}
	for _, other := range q.names {
		if other != name {
			weights += q.flows[other].weight
		}
	}
	others := float64(own+meanCost(q)) * weights / weight
	return own + min(q.cost-own, int(others))
}

// Longest returns the last item of the flow with the most work for its weight.
func (q *Queue) Longest() (Item, bool) {
	best, found := 0.0, ""
	for _, name := range q.names {
		if f := q.flows[name]; float64(f.cost)/f.weight > best {
			best, found = float64(f.cost)/f.weight, name
		}
	}
	if found == "" {
		return Item{}, false
	}
	items := q.flows[found].items
	return items[len(items)-1], true
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

func (q *Queue) take(name string, at int) {
	f := q.flows[name]
	q.cost -= f.items[at].Cost
	f.cost -= f.items[at].Cost
	q.length--
	f.items = slices.Delete(f.items, at, at+1)
	q.trim()
}

// trim forgets empty flows that are owed nothing and owe nothing.
func (q *Queue) trim() {
	q.names = slices.DeleteFunc(q.names, func(name string) bool {
		f := q.flows[name]
		idle := len(f.items) == 0 && (q.length == 0 || f.finish <= q.now)
		if idle {
			delete(q.flows, name)
		}
		return idle
	})
}

func meanCost(q *Queue) int {
	if q.length == 0 {
		return 0
	}
	return q.cost / q.length
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
