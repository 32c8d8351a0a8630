// Package rival implements common routing policies as baselines for comparison.
// They process the same messages and return the same commands as package cell.
package rival

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

// Policy is the state of a running policy.
type Policy struct {
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
//	policy := rival.New(rival.RoundRobin)
//	commands := policy.Update(now, cell.Arrived{Job: j})
func New(kind Kind) *Policy { return &Policy{kind: kind, requests: map[string]*request{}} }

// Update processes a message and returns the resulting commands.
func (p *Policy) Update(_ time.Time, message cell.Message) []cell.Command {
	switch m := message.(type) {
	case cell.Targets:
		for _, t := range m.All {
			p.targets = append(p.targets, &target{Target: place.Target{Name: t.Name, Hash: place.Hash(t.Name), Weight: t.Capacity}})
		}
	case cell.Arrived:
		p.requests[m.Job.ID] = &request{job: m.Job}
		return p.startAttempt(p.requests[m.Job.ID])
	case cell.FirstToken:
		if r, ok := p.requests[m.Job]; ok && r.attempt == m.Attempt {
			p.endPrefill(r)
		}
	case cell.Ended:
		return p.endAttempt(m)
	case cell.Cancelled:
		return p.cancel(m.Job)
	case cell.Leaving:
		p.markLeaving(m.Target)
	case cell.LoadReport:
		if m.Load.Leaving {
			p.markLeaving(m.Target)
		}
	}
	return nil
}

// startAttempt sends the next attempt of a request to an engine that it has not
// tried, or refuses the request if no engine or attempt is left.
func (p *Policy) startAttempt(r *request) []cell.Command {
	var usable []*target
	for _, t := range p.targets {
		if !t.leaving && !slices.Contains(r.tried, t.Name) {
			usable = append(usable, t)
		}
	}
	if len(usable) == 0 || r.attempt >= maxAttempts {
		delete(p.requests, r.job.ID)
		return []cell.Command{cell.Refuse{Job: r.job.ID, Code: "noEngine", Outcome: effect.NotRun{}, RetryAfter: retryAfter}}
	}
	r.target = p.choose(r.job, usable)
	r.attempt++
	r.tried = append(r.tried, r.target.Name)
	r.prefilling = true
	r.target.prefillTokens += r.job.PromptTokens
	r.target.calls++
	return []cell.Command{cell.Start{Job: r.job.ID, Attempt: r.attempt, Target: r.target.Name}}
}

func (p *Policy) choose(j job.Job, usable []*target) *target {
	switch p.kind {
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
		p.next++
		return usable[p.next%len(usable)]
	}
}

func (t *target) load() int { return t.prefillTokens + t.calls*callTokens }

// endPrefill removes the prompt tokens of a request from the load of its engine.
func (p *Policy) endPrefill(r *request) {
	if r.prefilling {
		r.target.prefillTokens -= r.job.PromptTokens
		r.prefilling = false
	}
}

func (p *Policy) endAttempt(m cell.Ended) []cell.Command {
	r, ok := p.requests[m.Job]
	if !ok || r.attempt != m.Attempt {
		return nil
	}
	p.endPrefill(r)
	r.target.calls--
	if _, ok := m.Outcome.(effect.Answered); ok {
		delete(p.requests, m.Job)
		return nil
	}
	if m.Code == engine.Leaving {
		r.target.leaving = true
	}
	return p.startAttempt(r)
}

func (p *Policy) cancel(id string) []cell.Command {
	r, ok := p.requests[id]
	if !ok {
		return nil
	}
	p.endPrefill(r)
	r.target.calls--
	delete(p.requests, id)
	return []cell.Command{cell.Cancel{Job: id, Attempt: r.attempt}}
}

func (p *Policy) markLeaving(name string) {
	for _, t := range p.targets {
		t.leaving = t.leaving || t.Name == name
	}
}
