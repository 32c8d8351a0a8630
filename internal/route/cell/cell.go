// Package cell decides which engine answers a request. It is the slice that the
// home node of a group of engines runs: it knows what it has in flight on each
// engine, what each is likely to have cached, and what the engines report.
//
// The slice does no I/O and reads no clock; the shell brings messages and runs
// the commands that come back.
package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/route/place"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const maxAttempts = 4

// State is everything that the slice remembers.
type State struct {
	targets []*target
	running map[string]*run
}

type target struct {
	Target
	prefill int
	tokens  int
}

type run struct {
	job     job.Job
	attempt int
	target  string
	prefill int
	tried   []string
}

// New returns a state that knows no engine yet.
//
//	state := cell.New()
//	state, commands := state.Update(now, cell.Arrived{Job: request})
func New() State {
	return State{running: map[string]*run{}}
}

// Update takes one message and returns the new state and what must be done.
func (s State) Update(_ time.Time, message Message) (State, []Command) {
	switch m := message.(type) {
	case Targets:
		return s.replace(m.All), nil
	case Arrived:
		s.running[m.Job.ID] = &run{job: m.Job}
		return s, s.start(s.running[m.Job.ID])
	case Started:
		s.started(m)
	case First:
		s.settle(m.Job, m.Attempt)
	case Ended:
		return s, s.ended(m)
	case Cancelled:
		return s, s.cancel(m.Job)
	case Leaving:
		s.leave(m.Target)
	case Reported:
		s.report(m)
	case Cached, Snapshot, Tick:
	}
	return s, nil
}

func (s State) replace(all []Target) State {
	known := map[string]*target{}
	for _, t := range s.targets {
		known[t.Name] = t
	}
	s.targets = nil
	for _, t := range all {
		next := &target{Target: t}
		if old, ok := known[t.Name]; ok {
			next.prefill, next.tokens = old.prefill, old.tokens
			next.Incarnation = old.Incarnation
			next.Leaving = t.Leaving || old.Leaving
		}
		s.targets = append(s.targets, next)
	}
	return s
}

func (s State) start(r *run) []Command {
	chosen := s.choose(r)
	if chosen == nil {
		delete(s.running, r.job.ID)
		return []Command{Refuse{
			Job: r.job.ID, Code: "noEngine", Outcome: effect.NotRun{Reason: "no engine is available"},
			RetryAfter: time.Second, Message: "no engine is available",
		}}
	}
	r.attempt++
	r.target = chosen.Name
	r.prefill = r.job.PromptTokens
	r.tried = append(r.tried, chosen.Name)
	chosen.prefill += r.prefill
	return []Command{Start{
		Job: r.job.ID, Attempt: r.attempt, Target: chosen.Name,
		Incarnation: chosen.Incarnation, WeightVersion: r.job.WeightVersion,
	}}
}

func (s State) choose(r *run) *target {
	var candidates []place.Target
	var usable []*target
	for _, t := range s.targets {
		if t.Leaving || !slices.Contains(t.Applications, r.job.Application) || slices.Contains(r.tried, t.Name) {
			continue
		}
		usable = append(usable, t)
		candidates = append(candidates, place.Target{Name: t.Name, Hash: place.Hash(t.Name), Weight: max(t.Capacity, 0.01)})
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[place.Rank(key(r.job), candidates, 1)[0]]
}

func key(j job.Job) uint64 {
	if len(j.Blocks) == 0 {
		return j.Fingerprint
	}
	return j.Blocks[len(j.Blocks)-1]
}

func (s State) started(m Started) {
	r, ok := s.running[m.Job]
	if !ok || r.attempt != m.Attempt {
		return
	}
	if t := s.find(r.target); t != nil && m.Accepted.Incarnation != "" {
		t.Incarnation = m.Accepted.Incarnation
	}
}

func (s State) settle(id string, attempt int) {
	r, ok := s.running[id]
	if !ok || r.attempt != attempt {
		return
	}
	if t := s.find(r.target); t != nil {
		t.prefill -= r.prefill
	}
	r.prefill = 0
}

func (s State) ended(m Ended) []Command {
	r, ok := s.running[m.Job]
	if !ok || r.attempt != m.Attempt {
		return nil
	}
	s.settle(m.Job, m.Attempt)
	if _, ok := m.Outcome.(effect.Answered); ok {
		delete(s.running, m.Job)
		return nil
	}
	if t := s.find(r.target); t != nil {
		if m.Code == engine.Leaving {
			t.Leaving = true
		}
		t.Incarnation = ""
	}
	if r.attempt >= maxAttempts || m.Code == engine.Invalid {
		delete(s.running, m.Job)
		return []Command{Refuse{Job: m.Job, Code: string(m.Code), Outcome: m.Outcome, RetryAfter: time.Second, Message: "the engines gave no answer"}}
	}
	return s.start(r)
}

func (s State) cancel(id string) []Command {
	r, ok := s.running[id]
	if !ok {
		return nil
	}
	s.settle(id, r.attempt)
	delete(s.running, id)
	return []Command{Stop{Job: id, Attempt: r.attempt}}
}

func (s State) leave(name string) {
	if t := s.find(name); t != nil {
		t.Leaving = true
	}
}

func (s State) report(m Reported) {
	t := s.find(m.Target)
	if t == nil {
		return
	}
	if m.Load.Incarnation != t.Incarnation {
		t.Leaving = false
	}
	t.Incarnation = m.Load.Incarnation
	t.Leaving = t.Leaving || m.Load.Leaving
}

func (s State) find(name string) *target {
	for _, t := range s.targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// Running returns the IDs of the requests in flight, in order.
func (s State) Running() []string {
	return slices.Sorted(maps.Keys(s.running))
}
