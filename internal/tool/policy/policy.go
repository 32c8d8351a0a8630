// Package policy implements common routing policies as baselines for comparison.
// They process the same messages and return the same commands as package cell.
package policy

import (
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/route/place"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Kind identifies a policy.
type Kind string

// The policies.
const (
	// RoundRobin selects the engines in turn.
	RoundRobin Kind = "roundRobin"
	// LeastLoaded selects the engine with the fewest prompt tokens and calls in
	// flight. Its counts are exact.
	LeastLoaded Kind = "leastLoaded"
	// PrefixHash selects an engine by rendezvous hashing of the prompt's prefix.
	PrefixHash Kind = "prefixHash"
)

const (
	maxAttempts = 4
	retryAfter  = time.Second
	// callTokens is the load of one call, in addition to its prompt tokens.
	callTokens = 200
)

// Balancer is the state of a running policy.
type Balancer struct {
	kind     Kind
	targets  []*target
	requests map[string]*request
	next     int
}

type target struct {
	place.Target
	leaving bool
	// prefillTokens is the number of prompt tokens of calls without a first token.
	prefillTokens int
	// calls is the number of calls in flight.
	calls int
}

type request struct {
	job     job.Job
	attempt int
	target  *target
	// prefilling is true until the first token.
	prefilling bool
	tried      []string
}

// New returns a policy without engines. A [cell.Targets] message adds them.
//
//	balancer := policy.New(policy.RoundRobin)
//	commands := policy.Update(now, cell.Arrived{Job: j})
func New(kind Kind) *Balancer { return &Balancer{kind: kind, requests: map[string]*request{}} }

// Update processes a message and returns the resulting commands.
func (b *Balancer) Update(_ time.Time, message cell.Message) []cell.Command {
	switch m := message.(type) {
	case cell.Targets:
		for _, t := range m.All {
			b.targets = append(b.targets, &target{Target: place.Target{Name: t.Name, Hash: place.Hash(t.Name), Weight: t.Capacity}})
		}
	case cell.Arrived:
		b.requests[m.Job.ID] = &request{job: m.Job}
		return b.startAttempt(b.requests[m.Job.ID])
	case cell.FirstToken:
		if r, ok := b.requests[m.Job]; ok && r.attempt == m.Attempt {
			b.endPrefill(r)
		}
	case cell.Ended:
		return b.endAttempt(m)
	case cell.Cancelled:
		return b.cancel(m.Job)
	case cell.Leaving:
		b.markLeaving(m.Target)
	case cell.LoadReport:
		if m.Load.Leaving {
			b.markLeaving(m.Target)
		}
	}
	return nil
}

// startAttempt sends the next attempt of a request to an engine that it has not
// tried, or refuses the request if no engine or attempt is left.
func (b *Balancer) startAttempt(r *request) []cell.Command {
	var usable []*target
	for _, t := range b.targets {
		if !t.leaving && !slices.Contains(r.tried, t.Name) {
			usable = append(usable, t)
		}
	}
	if len(usable) == 0 || r.attempt >= maxAttempts {
		delete(b.requests, r.job.ID)
		return []cell.Command{cell.Refuse{Job: r.job.ID, Code: "noEngine", Outcome: effect.NotRun{}, RetryAfter: retryAfter}}
	}
	r.target = b.choose(r.job, usable)
	r.attempt++
	r.tried = append(r.tried, r.target.Name)
	r.prefilling = true
	r.target.prefillTokens += r.job.PromptTokens
	r.target.calls++
	return []cell.Command{cell.Start{Job: r.job.ID, Attempt: r.attempt, Target: r.target.Name}}
}

func (b *Balancer) choose(j job.Job, usable []*target) *target {
	switch b.kind {
	case LeastLoaded:
		return slices.MinFunc(usable, func(a, b *target) int { return a.load() - b.load() })
	case PrefixHash:
		key := job.PlacementKey(j)
		targets := make([]place.Target, len(usable))
		for i, t := range usable {
			targets[i] = t.Target
		}
		return usable[place.Rank(key, targets, 1)[0]]
	default:
		b.next++
		return usable[b.next%len(usable)]
	}
}

func (t *target) load() int { return t.prefillTokens + t.calls*callTokens }

// endPrefill removes the prompt tokens of a request from the load of its engine.
func (b *Balancer) endPrefill(r *request) {
	if r.prefilling {
		r.target.prefillTokens -= r.job.PromptTokens
		r.prefilling = false
	}
}

func (b *Balancer) endAttempt(m cell.Ended) []cell.Command {
	r, ok := b.requests[m.Job]
	if !ok || r.attempt != m.Attempt {
		return nil
	}
	b.endPrefill(r)
	r.target.calls--
	if _, ok := m.Outcome.(effect.Answered); ok {
		delete(b.requests, m.Job)
		return nil
	}
	if m.Code == engine.Leaving {
		r.target.leaving = true
	}
	return b.startAttempt(r)
}

func (b *Balancer) cancel(id string) []cell.Command {
	r, ok := b.requests[id]
	if !ok {
		return nil
	}
	b.endPrefill(r)
	r.target.calls--
	delete(b.requests, id)
	return []cell.Command{cell.Cancel{Job: id, Attempt: r.attempt}}
}

func (b *Balancer) markLeaving(name string) {
	for _, t := range b.targets {
		t.leaving = t.leaving || t.Name == name
	}
}
