// Package rival holds the usual policies that routing decisions are measured
// against. They speak the same messages and commands as the cell slice.
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

// Kind names a policy.
type Kind string

// The policies.
const (
	// RoundRobin takes the engines in turn.
	RoundRobin Kind = "roundRobin"
	// LeastLoaded takes the engine with the fewest prompt tokens and calls in
	// flight, which it knows exactly.
	LeastLoaded Kind = "leastLoaded"
	// PrefixHash takes the engine that rendezvous hashing of the prompt's
	// prefix gives.
	PrefixHash Kind = "prefixHash"
)

const (
	maxAttempts = 4
	retryAfter  = time.Second
	// callTokens is what a decoding call counts for beside prompt tokens.
	callTokens = 200
)

// Policy is the state of one policy.
type Policy struct {
	kind    Kind
	targets []*target
	running map[string]*run
	turn    int
}

type target struct {
	place.Target
	leaving bool
	prefill int
	calls   int
}

type run struct {
	job     job.Job
	attempt int
	target  *target
	waiting bool
	tried   []string
}

// New returns a policy that knows no engine yet.
//
//	policy := rival.New(rival.RoundRobin)
//	commands := policy.Update(now, cell.Arrived{Job: j})
func New(kind Kind) *Policy { return &Policy{kind: kind, running: map[string]*run{}} }

// Update takes one message and returns what must be done.
func (p *Policy) Update(_ time.Time, message cell.Message) []cell.Command {
	switch m := message.(type) {
	case cell.Targets:
		for _, t := range m.All {
			p.targets = append(p.targets, &target{Target: place.Target{Name: t.Name, Hash: place.Hash(t.Name), Weight: t.Capacity}})
		}
	case cell.Arrived:
		p.running[m.Job.ID] = &run{job: m.Job}
		return p.start(p.running[m.Job.ID])
	case cell.First:
		if r, ok := p.running[m.Job]; ok && r.attempt == m.Attempt {
			p.settle(r)
		}
	case cell.Ended:
		return p.ended(m)
	case cell.Cancelled:
		return p.cancel(m.Job)
	case cell.Leaving:
		p.leave(m.Target)
	case cell.Reported:
		if m.Load.Leaving {
			p.leave(m.Target)
		}
	}
	return nil
}

func (p *Policy) start(r *run) []cell.Command {
	var usable []*target
	for _, t := range p.targets {
		if !t.leaving && !slices.Contains(r.tried, t.Name) {
			usable = append(usable, t)
		}
	}
	if len(usable) == 0 || r.attempt >= maxAttempts {
		delete(p.running, r.job.ID)
		return []cell.Command{cell.Refuse{Job: r.job.ID, Code: "noEngine", Outcome: effect.NotRun{}, RetryAfter: retryAfter}}
	}
	r.target = p.choose(r.job, usable)
	r.attempt++
	r.tried = append(r.tried, r.target.Name)
	r.waiting = true
	r.target.prefill += r.job.PromptTokens
	r.target.calls++
	return []cell.Command{cell.Start{Job: r.job.ID, Attempt: r.attempt, Target: r.target.Name}}
}

func (p *Policy) choose(j job.Job, usable []*target) *target {
	switch p.kind {
	case LeastLoaded:
		return slices.MinFunc(usable, func(a, b *target) int { return a.load() - b.load() })
	case PrefixHash:
		key := job.Key(j)
		targets := make([]place.Target, len(usable))
		for i, t := range usable {
			targets[i] = t.Target
		}
		return usable[place.Rank(key, targets, 1)[0]]
	default:
		p.turn++
		return usable[p.turn%len(usable)]
	}
}

func (t *target) load() int { return t.prefill + t.calls*callTokens }

func (p *Policy) settle(r *run) {
	if r.waiting {
		r.target.prefill -= r.job.PromptTokens
		r.waiting = false
	}
}

func (p *Policy) ended(m cell.Ended) []cell.Command {
	r, ok := p.running[m.Job]
	if !ok || r.attempt != m.Attempt {
		return nil
	}
	p.settle(r)
	r.target.calls--
	if _, ok := m.Outcome.(effect.Answered); ok {
		delete(p.running, m.Job)
		return nil
	}
	if m.Code == engine.Leaving {
		r.target.leaving = true
	}
	return p.start(r)
}

func (p *Policy) cancel(id string) []cell.Command {
	r, ok := p.running[id]
	if !ok {
		return nil
	}
	p.settle(r)
	r.target.calls--
	delete(p.running, id)
	return []cell.Command{cell.Stop{Job: id, Attempt: r.attempt}}
}

func (p *Policy) leave(name string) {
	for _, t := range p.targets {
		t.leaving = t.leaving || t.Name == name
	}
}
