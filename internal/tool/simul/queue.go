package simul

import (
	"container/heap"
	"time"
)

// queue is a priority queue of events, ordered by time and then by insertion.
type queue struct {
	items []item
	count uint64
}

type item struct {
	at  time.Time
	seq uint64
	run func()
}

func (q *queue) add(at time.Time, run func()) {
	q.count++
	heap.Push(q, item{at: at, seq: q.count, run: run})
}

func (q *queue) next() (item, bool) {
	if len(q.items) == 0 {
		return item{}, false
	}
	return heap.Pop(q).(item), true
}

// Len implements [heap.Interface].
func (q *queue) Len() int { return len(q.items) }

// Less implements [heap.Interface].
func (q *queue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	if a.at.Equal(b.at) {
		return a.seq < b.seq
	}
	return a.at.Before(b.at)
}

// Swap implements [heap.Interface].
func (q *queue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }

// Push implements [heap.Interface].
func (q *queue) Push(x any) { q.items = append(q.items, x.(item)) }

// Pop implements [heap.Interface].
func (q *queue) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}
