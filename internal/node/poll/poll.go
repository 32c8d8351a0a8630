// Package poll polls the engines' load reports and cache events at a low rate and
// passes them to the cells. Both may arrive late or not at all.
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

// Poller is a suture service that polls all engines.
type Poller struct {
	engines   func() []string
	dial      func(target string) (engine.Client, bool)
	deliver   func(ctx context.Context, target string, message cell.Message)
	scope     tally.Scope
	bytesRead int
	positions map[string]position
}

// position is how far the cache events of an engine have been read.
type position struct {
	incarnation string
	seq         uint64
	mutedUntil  time.Time
}

// New returns a poller. The function engines returns the names of the engines to
// poll, dial returns their clients, and deliver receives their load reports and
// cache events.
//
//	supervisor.Add(poll.New(names, dial, deliver, scope))
func New(engines func() []string, dial func(target string) (engine.Client, bool), deliver func(ctx context.Context, target string, message cell.Message), scope tally.Scope) *Poller {
	return &Poller{engines: engines, dial: dial, deliver: deliver, scope: scope}
}

// answer holds what one engine returned. Its fields are nil where the request
// failed or was skipped.
type answer struct {
	target string
	load   *engine.LoadReport
	events *engine.CacheEvents
}

// Serve polls all engines in rounds until the context ends.
func (p *Poller) Serve(ctx context.Context) error {
	p.positions = map[string]position{}
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

// pause returns the time until the next round. It keeps the estimated size of the
// engines' answers below bytesPerSecond, however many engines there are.
func (p *Poller) pause() time.Duration {
	p.scope.Counter("poll_bytes").Inc(int64(p.bytesRead))
	budgeted := time.Duration(p.bytesRead) * time.Second / bytesPerSecond
	p.bytesRead = 0
	return max(interval, budgeted)
}

// round polls all engines once, concurrently.
func (p *Poller) round(ctx context.Context) {
	names := p.engines()
	answers := make(chan answer)
	for _, name := range names {
		go func(ctx context.Context) { answers <- p.request(ctx, name, p.positions[name]) }(ctx)
	}
	next := make(map[string]position, len(names))
	for range names {
		a := <-answers
		next[a.target] = p.deliverAnswer(ctx, a, p.positions[a.target])
	}
	p.positions = next
}

func (p *Poller) request(ctx context.Context, name string, from position) answer {
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
	if time.Now().Before(from.mutedUntil) {
		return a
	}
	after := from.seq
	if load.Incarnation != from.incarnation {
		after = 0
	}
	if events, err := client.Events(ctx, after); err == nil {
		a.events = &events
	}
	return a
}

// deliverAnswer delivers an answer and returns the new position. If an engine has
// more events than maxEvents, its events are not read for muteTime; the cell then
// computes the contents of its cache instead.
func (p *Poller) deliverAnswer(ctx context.Context, a answer, from position) position {
	if a.load == nil {
		return from
	}
	p.bytesRead += bytesPerAnswer
	p.deliver(ctx, a.target, cell.LoadReport{Target: a.target, Load: *a.load})
	if a.events == nil {
		return from
	}
	p.bytesRead += bytesPerAnswer + len(a.events.Events)*bytesPerEvent
	if len(a.events.Events) > maxEvents {
		p.scope.Counter("poll_mutes").Inc(1)
		return position{mutedUntil: time.Now().Add(muteTime)}
	}
	next := position{incarnation: a.events.Incarnation}
	if a.events.Incarnation == from.incarnation {
		next.seq = from.seq
	}
	if len(a.events.Events) == 0 {
		return next
	}
	p.deliver(ctx, a.target, cell.CacheEvents{Target: a.target, Batch: *a.events})
	next.seq = a.events.Events[len(a.events.Events)-1].Seq
	return next
}
