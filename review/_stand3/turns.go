package main

import (
	"context"
	"sync"
	"time"

	"github.com/cicadamill/cicadamill/platform/fake"
)

const (
	// rollGap is the time between two stops of a rolling restart.
	rollGap = time.Second
	// stops is the number of hosts that are stopped.
	stops = 4
	// watchTime is how long orders are watched after the restart began.
	watchTime = 12 * time.Second
)

// ledger records the orders that engines receive.
type ledger struct {
	r      *record
	mu     sync.Mutex
	orders []fake.Order
}

func (l *ledger) RecordRun(fake.Run)         {}
func (l *ledger) RecordCrash(fake.Run)       {}
func (l *ledger) RecordArrival(fake.Arrival) {}

func (l *ledger) RecordOrder(o fake.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, o)
	l.r.add("order to %s from %s, fencing token %d, weights %d", o.Target, o.Holder, o.Fence, o.Version)
}

// since returns the orders after the first count ones.
func (l *ledger) since(count int) []fake.Order {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]fake.Order(nil), l.orders[count:]...)
}

// turns names new weights while the hosts are restarted one after the other, and counts
// the orders that an engine gets from one host within the lease's time after one from
// another host. Several of these in succession are numbered.
func turns(ctx context.Context, o options, r *record) (int, error) {
	o.hosts = 4
	l := &ledger{r: r}
	d, err := newDeployment(o, l, 2, 1)
	if err != nil {
		return 0, err
	}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	if err := fake.PublishWeights(d.store, 2); err != nil {
		return 0, err
	}
	r.add("weights 2 named")
	if err := wait(ctx, 5*time.Second, "no engine got an order", func() bool { return len(l.since(0)) >= 2 }); err != nil {
		return 0, err
	}
	var restarts sync.WaitGroup
	defer restarts.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	weights := uint64(2)
	for step := range stops {
		if o.trouble {
			restarts.Go(func() { d.stopHolder(ctx, r) })
		}
		time.Sleep(rollGap)
		if step%2 == 0 {
			weights++
			if err := fake.PublishWeights(d.store, weights); err != nil {
				return 0, err
			}
			r.add("weights %d named", weights)
		}
	}
	time.Sleep(watchTime)
	return l.countTurns(), nil
}

// countTurns returns the number of orders that an engine got from one host within the
// lease's time after one from another host.
func (l *ledger) countTurns() int {
	broken := 0
	last, turns := map[string]fake.Order{}, map[string]int{}
	for _, order := range l.since(0) {
		before, ok := last[order.Target]
		last[order.Target] = order
		switch gap := order.At.Sub(before.At); {
		case !ok || before.Holder == order.Holder:
		case gap >= fake.LeaseTime:
			turns[order.Target] = 0
		default:
			turns[order.Target]++
			l.r.add("turn %d: %s got an order from %s %d ms after one from %s", turns[order.Target], order.Target, order.Holder, gap.Milliseconds(), before.Holder)
			broken++
		}
	}
	return broken
}
