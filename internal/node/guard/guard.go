// Package guard runs the crash state machine of a node. It admits attempts to
// engines, runs requests that are suspected of crashing engines alone on their
// engine, and refuses requests that have been found to crash them.
package guard

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/safety/crash"
)

const tickInterval = time.Second

// Guard owns the crash state of a node. It is a suture service: while Serve does
// not run, entries don't expire and waiting suspects don't time out.
type Guard struct {
	scope tally.Scope

	mu      sync.Mutex
	state   crash.State
	waiting map[string]chan crash.Command
}

// New returns a guard without suspects.
//
//	g := guard.New(scope)
//	supervisor.Add(g)
func New(scope tally.Scope) *Guard {
	return &Guard{scope: scope, state: crash.New(), waiting: map[string]chan crash.Command{}}
}

// Serve sends ticks to the state machine until the context ends.
func (g *Guard) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			g.Send(crash.Tick{})
		}
	}
}

// MustRefuse reports whether a request is known to crash engines, so that it must
// be refused.
func (g *Guard) MustRefuse(fingerprint uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Convicted(time.Now(), fingerprint)
}

// Admit waits for the decision whether an attempt may start on an engine. After
// [crash.Start] the caller must send [crash.Ended] when the attempt ends. If the
// context ends first, the attempt must not start and the result is [crash.Move].
//
//	if _, ok := g.Admit(ctx, request).(crash.Start); ok {
//		defer g.Send(crash.Ended{Job: request.Job, Target: request.Target})
//	}
func (g *Guard) Admit(ctx context.Context, request crash.Admit) crash.Command {
	decision := make(chan crash.Command, 1)
	g.mu.Lock()
	g.waiting[request.Job] = decision
	g.update(request)
	g.mu.Unlock()
	select {
	case command := <-decision:
		return command
	case <-ctx.Done():
		g.Send(crash.Ended{Job: request.Job, Fingerprint: request.Fingerprint, Target: request.Target})
		return crash.Move{Job: request.Job}
	}
}

// Send sends a message to the state machine.
func (g *Guard) Send(message crash.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.update(message)
	if left, ok := message.(crash.Ended); ok {
		delete(g.waiting, left.Job)
	}
}

// Entries returns the crash entries to share with other nodes, the most recent
// first.
func (g *Guard) Entries() []crash.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Entries(time.Now())
}

// Merge merges the entries of another node.
func (g *Guard) Merge(entries []crash.Entry) { g.Send(crash.Received{Entries: entries}) }

// update sends a message to the state machine and delivers its decisions to the
// waiting attempts. The caller holds the lock.
func (g *Guard) update(message crash.Message) {
	var commands []crash.Command
	g.state, commands = g.state.Update(time.Now(), message)
	for _, command := range commands {
		switch c := command.(type) {
		case crash.Start:
			g.deliver(c.Job, c, "admitted")
		case crash.Move:
			g.deliver(c.Job, c, "moved")
		case crash.Refuse:
			g.deliver(c.Job, c, "refused")
		}
	}
	if _, ok := message.(crash.Crashed); ok {
		g.scope.Counter("crash_deaths").Inc(1)
	}
}

func (g *Guard) deliver(job string, command crash.Command, kind string) {
	g.scope.Tagged(map[string]string{"answer": kind}).Counter("crash_answers").Inc(1)
	if c, ok := command.(crash.Start); ok && c.Alone {
		g.scope.Counter("crash_alone").Inc(1)
	}
	if decision, ok := g.waiting[job]; ok {
		delete(g.waiting, job)
		decision <- command
	}
}
