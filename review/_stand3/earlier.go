package main

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cicadamill/cicadamill/platform/fake"
)

const (
	// killDelay is how long after it took the lease the new holder is killed.
	killDelay = 300 * time.Millisecond
	// earlierTime is how long orders are watched after that.
	earlierTime = 8 * time.Second
)

// earlier stops the host that holds the lease, and kills the process of the next holder
// before its first order, while weights are named. It counts the orders that an engine gets
// from one host within the lease's time after one from another host.
func earlier(ctx context.Context, o options, r *record) (int, error) {
	o.hosts = 5
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
	if o.trouble {
		first := d.holder()
		restarts.Go(func() { first.restart(ctx, r) })
		var next *gateway
		err := wait(ctx, 4*time.Second, "no other host holds the lease", func() bool { next = d.holder(); return next != nil && next != first })
		if err != nil {
			return 0, err
		}
		r.add("%s holds the lease", next.settings.Name)
		time.Sleep(killDelay)
		r.add("SIGKILL to %s", next.settings.Name)
		next.kill()
		time.Sleep(restartDelay)
		if err := next.start(); err != nil {
			return 0, err
		}
		r.add("%s started again", next.settings.Name)
	}
	if err := fake.PublishWeights(d.store, 3); err != nil {
		return 0, err
	}
	r.add("weights 3 named")
	time.Sleep(earlierTime)
	return l.countTurns(), nil
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
