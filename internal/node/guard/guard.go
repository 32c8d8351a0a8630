// Package guard runs the crash slice of one node: it lets attempts onto
// engines, keeps suspects alone and refuses requests that crash engines.
package guard

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/safety/crash"
)

const tickInterval = time.Second

// Guard owns the crash state of one node. It is a suture service; without it
// running, entries don't expire and suspects don't give up waiting.
type Guard struct {
	scope tally.Scope

	mu      sync.Mutex
	state   crash.State
	waiting map[string]chan crash.Command
}

// New returns a guard that suspects nobody.
//
//	g := guard.New(scope)
//	supervisor.Add(g)
func New(scope tally.Scope) *Guard {
	return &Guard{scope: scope, state: crash.New(), waiting: map[string]chan crash.Command{}}
}

// Serve lets time pass until the context ends.
func (g *Guard) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			g.Tell(crash.Tick{})
		}
	}
}

// Convicted reports whether a request must be refused.
func (g *Guard) Convicted(fingerprint uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Convicted(time.Now(), fingerprint)
}

// Enter waits until an attempt may start on an engine, or must not. Whoever
// enters tells [crash.Left] later. When the context ends first, the attempt
// must not start and the answer is [crash.Move].
//
//	if _, ok := g.Enter(ctx, place).(crash.Go); ok {
//		defer g.Tell(crash.Left{Job: place.Job, Target: place.Target})
//	}
func (g *Guard) Enter(ctx context.Context, place crash.Place) crash.Command {
	answer := make(chan crash.Command, 1)
	g.mu.Lock()
	g.waiting[place.Job] = answer
	g.update(place)
	g.mu.Unlock()
	select {
	case command := <-answer:
		return command
	case <-ctx.Done():
		g.Tell(crash.Left{Job: place.Job, Fingerprint: place.Fingerprint, Target: place.Target})
		return crash.Move{Job: place.Job}
	}
}

// Tell hands a message to the slice.
func (g *Guard) Tell(message crash.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.update(message)
	if left, ok := message.(crash.Left); ok {
		delete(g.waiting, left.Job)
	}
}

// Entries returns what peers should know, the most recent first.
func (g *Guard) Entries() []crash.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Entries(time.Now())
}

// Hear takes the entries of a peer.
func (g *Guard) Hear(entries []crash.Entry) { g.Tell(crash.Heard{Entries: entries}) }

// update runs the slice and hands out its answers; the caller holds the lock.
func (g *Guard) update(message crash.Message) {
	var commands []crash.Command
	g.state, commands = g.state.Update(time.Now(), message)
	for _, command := range commands {
		switch c := command.(type) {
		case crash.Go:
			g.answer(c.Job, c, "admitted")
		case crash.Move:
			g.answer(c.Job, c, "moved")
		case crash.Refuse:
			g.answer(c.Job, c, "refused")
		}
	}
	if _, ok := message.(crash.Died); ok {
		g.scope.Counter("crash_deaths").Inc(1)
	}
}

func (g *Guard) answer(job string, command crash.Command, kind string) {
	g.scope.Tagged(map[string]string{"answer": kind}).Counter("crash_answers").Inc(1)
	if c, ok := command.(crash.Go); ok && c.Alone {
		g.scope.Counter("crash_alone").Inc(1)
	}
	if answer, ok := g.waiting[job]; ok {
		delete(g.waiting, job)
		answer <- command
	}
}
