// Package poll reads the engines' load reports and cache events at a low rate
// and hands them to the cell. All of it may be late or missing.
package poll

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	interval  = 2 * time.Second
	timeout   = time.Second
	maxEvents = 200
	muteTime  = 5 * time.Minute

	bytesPerSecond = 3 << 10
	bytesPerAnswer = 350
	bytesPerEvent  = 48
)

// Poller is a suture service.
type Poller struct {
	engines func() []string
	dial    func(target string) (engine.Client, bool)
	tell    func(ctx context.Context, target string, message cell.Message)
	scope   tally.Scope
	spent   int
	places  map[string]place
}

// place is how far the cache events of an engine were read.
type place struct {
	incarnation string
	seq         uint64
	muted       time.Time
}

// New returns a poller. The function engines lists the engines to ask, dial
// finds their clients and tell takes what they say.
//
//	supervisor.Add(poll.New(names, dial, tell, scope))
func New(engines func() []string, dial func(target string) (engine.Client, bool), tell func(ctx context.Context, target string, message cell.Message), scope tally.Scope) *Poller {
	return &Poller{engines: engines, dial: dial, tell: tell, scope: scope}
}

// answer is what one engine said, or that it said nothing.
type answer struct {
	target string
	load   *engine.Load
	events *engine.Batch
}

// Serve asks until the context ends.
func (p *Poller) Serve(ctx context.Context) error {
	p.places = map[string]place{}
	for {
		p.round(ctx)
		pause := time.Duration((0.75 + 0.5*rand.Float64()) * float64(p.pause()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

// pause returns the time until the next round. It keeps what the engines' answers
// take under a fixed number of bytes a second, however many engines there are.
func (p *Poller) pause() time.Duration {
	p.scope.Counter("poll_bytes").Inc(int64(p.spent))
	paid := time.Duration(p.spent) * time.Second / bytesPerSecond
	p.spent = 0
	return max(interval, paid)
}

// round asks every engine once, all at the same time.
func (p *Poller) round(ctx context.Context) {
	names := p.engines()
	answers := make(chan answer)
	for _, name := range names {
		go func(ctx context.Context) { answers <- p.ask(ctx, name, p.places[name]) }(ctx)
	}
	next := make(map[string]place, len(names))
	for range names {
		a := <-answers
		next[a.target] = p.take(ctx, a, p.places[a.target])
	}
	p.places = next
}

func (p *Poller) ask(ctx context.Context, name string, at place) answer {
	a := answer{target: name}
	client, ok := p.dial(name)
	if !ok {
		return a
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	load, err := client.Load(ctx)
	if err != nil {
		p.scope.Counter("poll_failures").Inc(1)
		return a
	}
	a.load = &load
	if time.Now().Before(at.muted) {
		return a
	}
	after := at.seq
	if load.Incarnation != at.incarnation {
		after = 0
	}
	if events, err := client.Events(ctx, after); err == nil {
		a.events = &events
	}
	return a
}

// take hands on what an engine said. An engine with too many events to read
// them all is left alone for a while: the cell then computes what it caches.
func (p *Poller) take(ctx context.Context, a answer, at place) place {
	if a.load == nil {
		return at
	}
	p.spent += bytesPerAnswer
	p.tell(ctx, a.target, cell.Reported{Target: a.target, Load: *a.load})
	if a.events == nil {
		return at
	}
	p.spent += bytesPerAnswer + len(a.events.Events)*bytesPerEvent
	if len(a.events.Events) > maxEvents {
		p.scope.Counter("poll_mutes").Inc(1)
		return place{muted: time.Now().Add(muteTime)}
	}
	next := place{incarnation: a.events.Incarnation}
	if a.events.Incarnation == at.incarnation {
		next.seq = at.seq
	}
	if len(a.events.Events) == 0 {
		return next
	}
	p.tell(ctx, a.target, cell.Cached{Target: a.target, Batch: *a.events})
	next.seq = a.events.Events[len(a.events.Events)-1].Seq
	return next
}
