package simul

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/standin/cost"
	"github.com/cicadamill/cicadamill/internal/target/engine"
	"github.com/cicadamill/cicadamill/internal/tool/synth"
)

// attempt links an engine's replies to the request and to its decider.
type attempt struct {
	call     *call
	instance *instance
	number   int
	engine   *simEngine
	id       string
}

func (s *Simulation) startAttempt(d *instance, start cell.Start) {
	c := s.calls[start.Job]
	a := attempt{call: c, instance: d, number: start.Attempt, engine: s.engines[start.Target], id: attemptID(start.Job, start.Attempt, s.generation)}
	c.targets[start.Attempt] = start.Target
	s.after(hopDelay, func() { s.submit(a, start) })
}

func (s *Simulation) submit(a attempt, start cell.Start) {
	if a.call.done || a.call.targets[a.number] == "" {
		return
	}
	s.updateEngine(a.engine, cost.Submit{
		ID: a.id, Blocks: a.call.Job.Blocks, PromptTokens: a.call.Job.PromptTokens,
		Output: a.call.OutputTokens, Priority: start.Priority, Incarnation: start.Incarnation,
	}, a)
}

// updateEngine passes a message to an engine and handles its replies. A non-zero
// attempt is recorded so that later replies can be matched to it.
func (s *Simulation) updateEngine(e *simEngine, message cost.Message, a attempt) {
	if a.call != nil {
		s.attempts[a.id] = a
	}
	for _, reply := range e.engine.Update(s.now, message) {
		s.handleReply(e, reply)
	}
}

func (s *Simulation) handleReply(e *simEngine, reply cost.Reply) {
	switch r := reply.(type) {
	case cost.ScheduleStep:
		s.queue.add(r.At, func() { s.updateEngine(e, cost.FinishStep{Number: r.Number}, attempt{}) })
	case cost.Prefilled:
		s.score.BlocksComputed(s.now.Sub(s.start), r.Blocks)
		s.saveToStore(r.Blocks)
	case cost.CacheChanged:
		if s.random.Float64() >= s.load.EventLoss {
			e.events = append(e.events, r.Event)
		}
	case cost.Accepted:
		s.replyToDecider(r.ID, false, func(a attempt) cell.Message {
			return cell.Started{Job: a.call.Job.ID, Attempt: a.number, Accepted: engine.Accepted{
				Engine: e.name, Incarnation: r.Incarnation, WeightVersion: "1", CachedTokens: r.Cached, PromptTokens: a.call.Job.PromptTokens,
			}}
		})
	case cost.FirstToken:
		s.firstToken(r)
	default:
		s.endAttempt(reply)
	}
}

func (s *Simulation) firstToken(r cost.FirstToken) {
	s.replyToDecider(r.ID, false, func(a attempt) cell.Message {
		if !a.call.gotFirstToken {
			a.call.gotFirstToken = true
			s.score.FirstToken(&a.call.Request, s.now.Sub(a.call.startedAt), r.Cached)
		}
		return cell.FirstToken{Job: a.call.Job.ID, Attempt: a.number}
	})
}

func (s *Simulation) endAttempt(reply cost.Reply) {
	switch r := reply.(type) {
	case cost.Finished:
		s.replyToDecider(r.ID, true, func(a attempt) cell.Message {
			a.call.done = true
			return cell.Ended{
				Job: a.call.Job.ID, Attempt: a.number, Outcome: effect.Answered{},
				Done: engine.Done{PromptTokens: a.call.Job.PromptTokens, CachedTokens: r.Cached, OutputTokens: r.Output},
			}
		})
	case cost.Refused:
		s.replyToDecider(r.ID, true, func(a attempt) cell.Message {
			return cell.Ended{Job: a.call.Job.ID, Attempt: a.number, Outcome: effect.NotRun{Reason: string(r.Code)}, Code: r.Code}
		})
	case cost.Aborted:
		s.replyToDecider(r.ID, true, func(a attempt) cell.Message {
			sent := 0
			if a.call.gotFirstToken {
				sent = 1
			}
			return cell.Ended{Job: a.call.Job.ID, Attempt: a.number, Outcome: effect.Unknown{Reason: "lost"}, Code: engine.Broken, Sent: sent}
		})
	}
}

// replyToDecider delivers an engine's reply to the decider after one hop. The
// final reply removes the attempt.
func (s *Simulation) replyToDecider(id string, final bool, message func(attempt) cell.Message) {
	a, ok := s.attempts[id]
	if !ok {
		return
	}
	if final {
		delete(s.attempts, id)
	}
	s.after(hopDelay, func() {
		if a.call.done || a.call.instance != a.instance {
			return
		}
		s.deliver(a.instance, message(a))
	})
}

func (s *Simulation) cancelAttempt(c cell.Cancel) {
	request := s.calls[c.Job]
	target := request.targets[c.Attempt]
	delete(request.targets, c.Attempt)
	if e, ok := s.engines[target]; ok {
		id := attemptID(c.Job, c.Attempt, s.generation)
		delete(s.attempts, id)
		s.after(hopDelay, func() { s.updateEngine(e, cost.Cancel{ID: id}, attempt{}) })
	}
}

// tick sends a periodic tick to every decider.
func (s *Simulation) tick() {
	for _, app := range s.load.Site.Apps {
		for _, d := range s.deciders[app.Name] {
			s.deliver(d, cell.Tick{})
		}
	}
	s.after(tickInterval, s.tick)
}

// reportEngines schedules the delivery of load reports and cache events to the
// deciders.
func (s *Simulation) reportEngines() {
	for _, e := range s.engineList {
		load := e.engine.Load()
		load.Age = s.load.ReportLag
		batch := engine.CacheEvents{Incarnation: e.engine.Incarnation(), Events: e.events}
		e.events = nil
		s.after(s.load.ReportLag, func() { s.broadcast(e.app, cell.LoadReport{Target: e.name, Load: load}) })
		if len(batch.Events) > 0 {
			s.after(s.load.EventLag, func() { s.broadcast(e.app, cell.CacheEvents{Target: e.name, Batch: batch}) })
		}
	}
	s.after(reportInterval, s.reportEngines)
}

func (s *Simulation) broadcast(app string, message cell.Message) {
	for _, d := range s.deciders[app] {
		s.deliver(d, message)
	}
}

func (s *Simulation) inject(fault synth.Fault) {
	switch f := fault.(type) {
	case synth.Crash:
		e := s.engines[f.Engine]
		s.updateEngine(e, cost.Crash{}, attempt{})
		e.events = nil
		s.after(f.Down, func() { s.updateEngine(e, cost.Restart{}, attempt{}) })
	case synth.Leave:
		e := s.engines[f.Engine]
		s.updateEngine(e, cost.Drain{}, attempt{})
		s.after(f.NoticeDelay, func() { s.broadcast(e.app, cell.Leaving{Target: e.name}) })
	case synth.Restart:
		s.restartRouters(f)
	}
}

// restartRouters replaces all deciders. Callers resend the requests that were
// interrupted.
func (s *Simulation) restartRouters(f synth.Restart) {
	for _, id := range slices.Sorted(maps.Keys(s.attempts)) {
		s.updateEngine(s.attempts[id].engine, cost.Cancel{ID: id}, attempt{})
	}
	s.attempts = map[string]attempt{}
	if f.ClearCaches {
		for _, e := range s.engineList {
			s.updateEngine(e, cost.Crash{}, attempt{})
			s.updateEngine(e, cost.Restart{}, attempt{})
			e.events = nil
		}
	}
	s.startDeciders()
	for i := range s.load.Requests {
		c, ok := s.calls[s.load.Requests[i].Job.ID]
		if !ok || c.done {
			continue
		}
		c.done = true
		retry := &call{Request: c.Request, targets: map[int]string{}}
		retry.At = f.At + time.Duration(s.random.Float64()*float64(resendSpread))
		retry.Job.ID += "again"
		s.scheduleRetry(retry)
	}
}

func (s *Simulation) scheduleRetry(c *call) {
	s.queue.add(s.start.Add(c.At), func() {
		c.startedAt = s.now
		s.calls[c.Job.ID] = c
		s.score.Offer(&c.Request)
		s.route(c)
		s.after(c.Job.Deadline, func() { s.timeOut(c) })
	})
}
