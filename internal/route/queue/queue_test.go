package queue_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/route/queue"
)

func anyItem(queue.Item) (float64, bool) { return 0, true }

func pop(q *queue.Queue) (queue.Item, bool) {
	item, ok := q.Next(anyItem)
	if ok {
		q.Take(item)
	}
	return item, ok
}

// credit is the work, in tokens, that a flow may run after it was idle before it
// is held to its share.
const credit = 40000

func TestWorkFollowsWeightsWhileAllWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue.Queue
		weights := rapid.SliceOfN(rapid.Float64Range(1, 8), 2, 5).Draw(t, "weights")
		const largest = 1000
		for flow, weight := range weights {
			for i := range 400 {
				cost := rapid.IntRange(500, largest).Draw(t, "cost")
				q.Push(queue.Item{ID: fmt.Sprintf("%d-%d", flow, i), Flow: fmt.Sprint(flow), Weight: weight, Cost: cost})
			}
		}
		served := map[string]float64{}
		for range 150 * len(weights) {
			item, _ := pop(&q)
			served[item.Flow] += float64(item.Cost)
			if served[item.Flow] > 300*largest {
				break
			}
		}
		for a, weight := range weights {
			for b, other := range weights {
				gap := served[fmt.Sprint(a)]/weight - served[fmt.Sprint(b)]/other
				assert.LessOrEqual(t, gap, credit/weight+largest/weight+largest/other+1)
			}
		}
	})
}

func TestBusyFlowUsesIdleShares(t *testing.T) {
	var q queue.Queue
	for i := range 10 {
		q.Push(queue.Item{ID: fmt.Sprint(i), Flow: "only", Weight: 0.1, Cost: 100000})
	}
	for i := range 10 {
		item, ok := pop(&q)
		assert.True(t, ok)
		assert.Equal(t, fmt.Sprint(i), item.ID)
	}
	_, ok := pop(&q)
	assert.False(t, ok)
	assert.Zero(t, q.Len())
	assert.Zero(t, q.Cost())
}

func TestIdleFlowGoesBeforeAFlood(t *testing.T) {
	var q queue.Queue
	for i := range 500 {
		q.Push(queue.Item{ID: fmt.Sprint(i), Flow: "flood", Weight: 8, Cost: 2000})
	}
	for range 300 {
		pop(&q)
	}
	assert.Zero(t, q.Ahead("small", 1))
	assert.True(t, q.Behind("small"))
	assert.False(t, q.Behind("flood"))
	for i := range 4 {
		q.Push(queue.Item{ID: fmt.Sprintf("small-%d", i), Flow: "small", Weight: 1, Cost: 9000})
	}
	for i := range 4 {
		item, _ := pop(&q)
		assert.Equal(t, fmt.Sprintf("small-%d", i), item.ID)
	}
}

func TestBusyFlowGetsNoCreditWhenTheQueueRunsEmpty(t *testing.T) {
	var q queue.Queue
	for range 50 {
		q.Push(queue.Item{ID: "f", Flow: "flood", Weight: 1, Cost: 20000})
		pop(&q)
	}
	q.Push(queue.Item{ID: "f", Flow: "flood", Weight: 1, Cost: 20000})
	q.Push(queue.Item{ID: "s", Flow: "small", Weight: 1, Cost: 20000})
	item, _ := pop(&q)
	assert.Equal(t, "s", item.ID)
}

func TestIneligibleItemsAreSkipped(t *testing.T) {
	var q queue.Queue
	q.Push(queue.Item{ID: "held", Flow: "a", Weight: 1, Cost: 1})
	q.Push(queue.Item{ID: "free", Flow: "a", Weight: 1, Cost: 1})
	item, ok := q.Next(func(i queue.Item) (float64, bool) { return 0, i.ID != "held" })
	assert.True(t, ok)
	assert.Equal(t, "free", item.ID)
	assert.True(t, q.Remove(item))
	assert.False(t, q.Remove(item))
	assert.Equal(t, []string{"held"}, q.IDs())
}

func ExampleQueue_Next() {
	var q queue.Queue
	q.Push(queue.Item{ID: "long", Flow: "members", Weight: 1, Cost: 9000})
	q.Push(queue.Item{ID: "short", Flow: "members", Weight: 1, Cost: 100})
	item, _ := q.Next(func(i queue.Item) (float64, bool) { return -float64(i.Cost), true })
	fmt.Println(item.ID)
	// Output: short
}
