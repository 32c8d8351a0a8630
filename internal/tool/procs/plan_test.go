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
	shortStep = 400 * time.Millisecond
	downTime  = 700 * time.Millisecond
	faultTime = 1500
)

// event is one thing that goes wrong at a time.
type event struct {
	at   time.Duration
	kind string
	who  int
}

// plan draws what goes wrong, so that a seed repeats it.
func plan(seed uint64, length time.Duration, routers, engines int) []event {
	random := rand.New(rand.NewPCG(seed, 1))
	kinds := []string{
		"killRouter", "killRouter", "stopRouter", "killEngine", "killEngine", "stallEngine", "cutEngine",
		"slowEngine", "pausePlatform", "platformDown", "platformLoses", "serviceLoses", "serviceSlow", "twoAtOnce",
	}
	var events []event
	for at := shortStep; at < length-2*downTime; at += shortStep + time.Duration(random.Int64N(int64(2*shortStep))) {
		kind := kinds[random.IntN(len(kinds))]
		if kind == "twoAtOnce" {
			events = append(events, event{at: at, kind: "killEngine", who: random.IntN(engines)})
			kind = "killRouter"
		}
		who := random.IntN(engines)
		if kind == "killRouter" || kind == "stopRouter" {
			who = random.IntN(routers)
		}
		events = append(events, event{at: at, kind: kind, who: who})
	}
	events = append(events, event{at: length / 2, kind: "herd"})
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return events
}

// play carries the plan out and returns how often each kind happened. Whatever
// it took down is up again when it returns.
func (s *scene) play(ctx context.Context, events []event, log func(string)) map[string]int {
	counts := map[string]int{}
	begun := time.Now()
	restarts := make(chan error)
	pending := 0
	for _, e := range events {
		time.Sleep(time.Until(begun.Add(e.at)))
		log(fmt.Sprintf("%6.2fs %s %d", time.Since(begun).Seconds(), e.kind, e.who))
		counts[e.kind]++
		for _, p := range s.strike(e) {
			pending++
			go func(ctx context.Context, ended <-chan struct{}) { restarts <- restart(ctx, p, ended) }(ctx, p.end())
		}
	}
	for range pending {
		if err := <-restarts; err != nil {
			log(err.Error())
		}
	}
	for _, p := range s.all() {
		if !p.isRunning() {
			_ = p.start(ctx)
		}
	}
	return counts
}

// restart starts a process again some time after it was struck, once the one
// before has ended.
func restart(ctx context.Context, p *process, ended <-chan struct{}) error {
	time.Sleep(downTime)
	<-ended
	p.gate.Lock()
	defer p.gate.Unlock()
	if p.isRunning() {
		return nil
	}
	return p.start(ctx)
}

// strike does one event and returns the processes to start again.
func (s *scene) strike(e event) []*process {
	switch e.kind {
	case "killRouter":
		s.routers[e.who].kill()
		return []*process{s.routers[e.who]}
	case "stopRouter":
		s.routers[e.who].signal(syscall.SIGTERM)
		return []*process{s.routers[e.who]}
	case "killEngine":
		s.engines[e.who].kill()
		return []*process{s.engines[e.who]}
	case "herd":
		for _, p := range s.routers {
			p.kill()
		}
		return s.routers
	case "pausePlatform":
		s.platform.signal(syscall.SIGSTOP)
		time.AfterFunc(downTime, func() { s.platform.signal(syscall.SIGCONT) })
	default:
		s.inject(e)
	}
	return nil
}

// fault is the body of a stand-in's fault endpoint.
type fault struct {
	Kind        string  `json:"kind"`
	Millis      int     `json:"millis"`
	Factor      float64 `json:"factor,omitempty"`
	Every       int     `json:"every,omitempty"`
	DelayMillis int     `json:"delayMillis,omitempty"`
}

func (s *scene) inject(e event) {
	name, f := s.engines[e.who].name, fault{Millis: faultTime}
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
	_ = s.post(http.MethodPost, name, "/standin/faults", f)
}
