package procs_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	minInterval = 400 * time.Millisecond
	downTime    = 700 * time.Millisecond
	faultMillis = 1500
)

// event is one fault of a plan, at a time after the start of the run.
type event struct {
	at    time.Duration
	kind  string
	index int
}

// newPlan derives the faults from a seed. Every plan kills all routers at once at
// half its length.
func newPlan(seed uint64, length time.Duration, routers, engines int) []event {
	random := rand.New(rand.NewPCG(seed, 1))
	kinds := []string{
		"killRouter", "killRouter", "stopRouter", "killEngine", "killEngine", "stallEngine", "cutEngine",
		"slowEngine", "pausePlatform", "platformDown", "platformLoses", "serviceLoses", "serviceSlow", "twoAtOnce",
	}
	var events []event
	for at := minInterval; at < length-2*downTime; at += minInterval + time.Duration(random.Int64N(int64(2*minInterval))) {
		kind := kinds[random.IntN(len(kinds))]
		if kind == "twoAtOnce" {
			events = append(events, event{at: at, kind: "killEngine", index: random.IntN(engines)})
			kind = "killRouter"
		}
		index := random.IntN(engines)
		if kind == "killRouter" || kind == "stopRouter" {
			index = random.IntN(routers)
		}
		events = append(events, event{at: at, kind: kind, index: index})
	}
	events = append(events, event{at: length / 2, kind: "herd"})
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return events
}

// play injects the events at their times and returns the number of events of each
// kind. All processes run again when it returns.
func (c *cluster) play(ctx context.Context, events []event, log func(string)) map[string]int {
	counts := map[string]int{}
	start := time.Now()
	restarts := make(chan error)
	pending := 0
	for _, e := range events {
		time.Sleep(time.Until(start.Add(e.at)))
		log(fmt.Sprintf("%6.2fs %s %d", time.Since(start).Seconds(), e.kind, e.index))
		counts[e.kind]++
		for _, p := range c.apply(e) {
			pending++
			go func(ctx context.Context, ended <-chan struct{}) { restarts <- restart(ctx, p, ended) }(ctx, p.done())
		}
	}
	for range pending {
		if err := <-restarts; err != nil {
			log(err.Error())
		}
	}
	for _, p := range c.processes() {
		if !p.isRunning() {
			_ = p.start(ctx)
		}
	}
	return counts
}

// restart starts a process again after [downTime], once its previous run has
// exited.
func restart(ctx context.Context, p *process, ended <-chan struct{}) error {
	time.Sleep(downTime)
	<-ended
	p.restartMu.Lock()
	defer p.restartMu.Unlock()
	if p.isRunning() {
		return nil
	}
	return p.start(ctx)
}

// apply injects one event and returns the processes that need a restart.
func (c *cluster) apply(e event) []*process {
	switch e.kind {
	case "killRouter":
		c.routers[e.index].kill()
		return []*process{c.routers[e.index]}
	case "stopRouter":
		c.routers[e.index].signal(syscall.SIGTERM)
		return []*process{c.routers[e.index]}
	case "killEngine":
		c.engines[e.index].kill()
		return []*process{c.engines[e.index]}
	case "herd":
		for _, p := range c.routers {
			p.kill()
		}
		return c.routers
	case "pausePlatform":
		c.platform.signal(syscall.SIGSTOP)
		time.AfterFunc(downTime, func() { c.platform.signal(syscall.SIGCONT) })
	default:
		c.inject(e)
	}
	return nil
}

// fault is the request body of a stand-in's fault endpoint.
type fault struct {
	Kind        string  `json:"kind"`
	Millis      int     `json:"millis"`
	Factor      float64 `json:"factor,omitempty"`
	Every       int     `json:"every,omitempty"`
	DelayMillis int     `json:"delayMillis,omitempty"`
}

func (c *cluster) inject(e event) {
	name, f := c.engines[e.index].name, fault{Millis: faultMillis}
	switch e.kind {
	case "stallEngine":
		f.Kind = "stall"
	case "cutEngine":
		f.Kind = "cut"
	case "slowEngine":
		f.Kind, f.Factor = "slow", 5
	case "platformDown":
		name, f.Kind = "platform", "down"
	case "platformLoses":
		name, f.Kind, f.Every = "platform", "lose", 3
	case "serviceLoses":
		name, f.Kind, f.Every = "service", "lose", 3
	case "serviceSlow":
		name, f.Kind, f.DelayMillis = "service", "slow", 300
	}
	_ = c.sendJSON(http.MethodPost, name, "/standin/faults", f)
}
