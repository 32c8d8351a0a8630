// Package queue implements a weighted fair queue by start-time fair queueing. Each
// flow gets work in proportion to its weight while all flows are backlogged, and
// the others use the share of a flow that is idle.
package queue

import (
	"cmp"
	"slices"
)

// rankedItems is the number of a flow's oldest items that [Queue.Next] ranks.
const rankedItems = 32

const (
	// burstTokens is the credit of a flow that was idle: the work that it may run
	// before it is held to its share.
	burstTokens = 40000.0
	// maxFlows is the number of flows above which idle ones are dropped.
	maxFlows = 4096
)

// Item is a queued request.
type Item struct {
	// ID identifies the request.
	ID string
	// Flow identifies the flow: a workspace and class.
	Flow string
	// Weight is the flow's weight.
	Weight float64
	// Cost is the request's work in tokens.
	Cost int
}

// Queue is a weighted fair queue. Its zero value is empty and ready to use.
//
//	var q queue.Queue
//	q.Push(queue.Item{ID: "a", Flow: "members", Weight: 2, Cost: 400})
//	item, ok := q.Next(func(queue.Item) (float64, bool) { return 0, true })
//	q.Take(item)
type Queue struct {
	flows map[string]*flow
	// backlogged are the sorted names of the flows that have items.
	backlogged []string
	// order is the buffer in which Next sorts the flows.
	order []string
	// virtualTime is the highest virtual start time of the items taken.
	virtualTime float64
	length      int
	cost        int
}

type flow struct {
	items []Item
	// finishTime is the virtual finish time of the last item taken.
	finishTime float64
	weight     float64
	cost       int
}

// Len returns the number of queued items.
func (q *Queue) Len() int { return q.length }

// Cost returns the total cost of the queued items.
func (q *Queue) Cost() int { return q.cost }

// Push appends an item to its flow. A flow that was idle gets a limited credit.
func (q *Queue) Push(item Item) {
	if q.flows == nil {
		q.flows = map[string]*flow{}
	}
	f, ok := q.flows[item.Flow]
	if !ok {
		q.trim()
		f = &flow{finishTime: q.virtualTime - burstTokens/item.Weight}
		q.flows[item.Flow] = f
	}
	if len(f.items) == 0 {
		at, _ := slices.BinarySearch(q.backlogged, item.Flow)
		q.backlogged = slices.Insert(q.backlogged, at, item.Flow)
		f.finishTime = max(f.finishTime, q.virtualTime-burstTokens/item.Weight)
	}
	f.weight = item.Weight
	f.items = append(f.items, item)
	f.cost += item.Cost
	q.length++
	q.cost += item.Cost
}

// Next returns the item to run next and leaves it in the queue. It takes the first
// flow in fair order with an eligible item and, among that flow's oldest items,
// the one with the highest rank. The second result of rank reports whether the
// item is eligible now.
func (q *Queue) Next(rank func(Item) (float64, bool)) (Item, bool) {
	q.order = append(q.order[:0], q.backlogged...)
	slices.SortStableFunc(q.order, func(a, b string) int { return cmp.Compare(q.flows[a].finishTime, q.flows[b].finishTime) })
	for _, name := range q.order {
		f := q.flows[name]
		if at := highestRanked(f.items[:min(len(f.items), rankedItems)], rank); at >= 0 {
			return f.items[at], true
		}
	}
	return Item{}, false
}

// Take removes an item that is about to run and charges its cost to its flow.
func (q *Queue) Take(item Item) {
	f, ok := q.flows[item.Flow]
	if !ok {
		return
	}
	q.virtualTime = max(q.virtualTime, f.finishTime)
	f.finishTime += float64(item.Cost) / item.Weight
	q.Remove(item)
}

func highestRanked(items []Item, rank func(Item) (float64, bool)) int {
	at, highest := -1, 0.0
	for i, item := range items {
		if r, eligible := rank(item); eligible && (at < 0 || r > highest) {
			at, highest = i, r
		}
	}
	return at
}

// Remove removes an item without charging its flow. It reports whether the item
// was in the queue.
func (q *Queue) Remove(item Item) bool {
	f, ok := q.flows[item.Flow]
	if !ok {
		return false
	}
	at := slices.IndexFunc(f.items, func(i Item) bool { return i.ID == item.ID })
	if at < 0 {
		return false
	}
	q.removeAt(f, at)
	return true
}

// Ahead returns the work that runs before a new item of a flow: the flow's own
// queued work and what other flows are entitled to until then.
func (q *Queue) Ahead(name string, weight float64) int {
	startTime, own := q.virtualTime-burstTokens/weight, 0
	if f, ok := q.flows[name]; ok {
		own = f.cost
		startTime = max(f.finishTime, startTime) + float64(own)/weight
	}
	ahead := own
	for _, other := range q.backlogged {
		f := q.flows[other]
		if other == name || f.finishTime >= startTime {
			continue
		}
		ahead += min(f.cost, int((startTime-f.finishTime)*f.weight))
	}
	return ahead
}

// Behind reports whether a flow has recently had less than its share.
func (q *Queue) Behind(name string) bool {
	f, ok := q.flows[name]
	return !ok || f.finishTime < q.virtualTime
}

// IDs returns the IDs of all queued items, grouped by flow.
func (q *Queue) IDs() []string {
	ids := make([]string, 0, q.length)
	for _, name := range q.backlogged {
		for _, item := range q.flows[name].items {
			ids = append(ids, item.ID)
		}
	}
	return ids
}

func (q *Queue) removeAt(f *flow, at int) {
	q.cost -= f.items[at].Cost
	f.cost -= f.items[at].Cost
	q.length--
	name := f.items[at].Flow
	f.items = slices.Delete(f.items, at, at+1)
	if len(f.items) > 0 {
		return
	}
	if i, ok := slices.BinarySearch(q.backlogged, name); ok {
		q.backlogged = slices.Delete(q.backlogged, i, i+1)
	}
	if f.finishTime <= q.virtualTime-burstTokens/f.weight {
		delete(q.flows, name)
	}
}

// trim drops idle flows when there are more than maxFlows flows.
func (q *Queue) trim() {
	if len(q.flows) <= maxFlows {
		return
	}
	for name, f := range q.flows {
		if len(f.items) == 0 {
			delete(q.flows, name)
		}
	}
}
