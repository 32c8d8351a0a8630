package main

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/cicadamill/cicadamill/platform/fake"
)

const (
	// killDelay is how long after it took the lease the new holder is killed.
	killDelay = 300 * time.Millisecond
	// rounds is how often that is done.
	rounds = 2
	// earlierTime is how long orders are watched after that.
	earlierTime = 5 * time.Second
)

// earlier stops the host that holds the lease, and kills the process of the next holder
// before its first order, while weights are named; that twice. It counts the orders with
// which the holder changes for the second time in succession at one engine, each time
// within the lease's time after the order before.
func earlier(ctx context.Context, o options, r *record) (int, error) {
	o.hosts = 5
	l := &ledger{r: r}
	d, err := newDeployment(o, l, 1, 1)
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
	if err := wait(ctx, 5*time.Second, "no engine got an order", func() bool { return len(l.since(0)) >= 1 }); err != nil {
		return 0, err
	}
	var restarts sync.WaitGroup
	defer restarts.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for round := range rounds {
		before := len(l.since(0))
		if o.trouble {
			if err := d.replaceHolder(ctx, r, &restarts); err != nil {
				return 0, err
			}
		}
		weights := uint64(round + 3)
		if err := fake.PublishWeights(d.store, weights); err != nil {
			return 0, err
		}
		r.add("weights %d named", weights)
		if err := wait(ctx, 8*time.Second, "no engine got an order", func() bool { return len(l.since(before)) >= 1 }); err != nil {
			return 0, err
		}
	}
	time.Sleep(earlierTime)
	return l.countTurns(), nil
}

// replaceHolder stops the host that holds the lease, and kills the process of the next one.
func (d *deployment) replaceHolder(ctx context.Context, r *record, restarts *sync.WaitGroup) error {
	first := d.holder()
	if first == nil {
		return errors.New("no host holds the lease")
	}
	restarts.Go(func() { first.restart(ctx, r) })
	var next *gateway
	err := wait(ctx, 4*time.Second, "no other host holds the lease", func() bool { next = d.holder(); return next != nil && next != first })
	if err != nil {
		return err
	}
	r.add("%s holds the lease", next.settings.Name)
	time.Sleep(killDelay)
	r.add("SIGKILL to %s", next.settings.Name)
	next.kill()
	time.Sleep(restartDelay)
	if err := next.start(); err != nil {
		return err
	}
	r.add("%s started again", next.settings.Name)
	return nil
}

// kill ends the process at once.
func (g *gateway) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command == nil {
		return
	}
	_ = g.command.Process.Signal(syscall.SIGCONT)
	_ = g.command.Process.Kill()
	<-g.ended
}

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

// countTurns returns the number of orders that broke the rule. It records each order that
// an engine got within the lease's time after one from another host, and numbers those in
// succession.
func (l *ledger) countTurns() int {
	broken := 0
	last, turns := map[string]fake.Order{}, map[string]int{}
	for _, order := range l.since(0) {
		before, ok := last[order.Target]
		last[order.Target] = order
		gap := order.At.Sub(before.At)
		if !ok || before.Holder == order.Holder {
			continue
		}
		if gap >= fake.LeaseTime {
			turns[order.Target] = 0
			continue
		}
		turns[order.Target]++
		l.r.add("turn %d: %s got an order from %s %d ms after one from %s", turns[order.Target], order.Target, order.Holder, gap.Milliseconds(), before.Holder)
		if turns[order.Target] > 1 {
			broken++
		}
	}
	return broken
}
