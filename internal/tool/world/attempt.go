package world

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/standin/cost"
	"github.com/cicadamill/cicadamill/internal/target/engine"
	"github.com/cicadamill/cicadamill/internal/tool/trace"
)

// attempt links an engine's replies to the request and to its decider.
type attempt struct {
	call     *call
	instance *instance
	number   int
	engine   *simEngine
	id       string
}

func (w *World) startAttempt(d *instance, start cell.Start) {
	c := w.calls[start.Job]
	a := attempt{call: c, instance: d, number: start.Attempt, engine: w.engines[start.Target], id: attemptID(start.Job, start.Attempt, w.generation)}
	c.targets[start.Attempt] = start.Target
	w.after(hopDelay, func() { w.submit(a, start) })
}

func (w *World) submit(a attempt, start cell.Start) {
	if a.call.done || a.call.targets[a.number] == "" {
		return
	}
	w.updateEngine(a.engine, cost.Submit{
		ID: a.id, Blocks: a.call.Job.Blocks, PromptTokens: a.call.Job.PromptTokens,
		Output: a.call.Output, Priority: start.Priority, Incarnation: start.Incarnation,
	}, a)
}

// updateEngine passes a message to an engine and handles its replies. A non-zero
// attempt is recorded so that later replies can be matched to it.
func (w *World) updateEngine(e *simEngine, message cost.Message, a attempt) {
	if a.call != nil {
		w.attempts[a.id] = a
	}
	for _, reply := range e.engine.Update(w.now, message) {
		w.handleReply(e, reply)
	}
}

func (w *World) handleReply(e *simEngine, reply cost.Reply) {
	switch r := reply.(type) {
	case cost.ScheduleStep:
		w.queue.add(r.At, func() { w.updateEngine(e, cost.FinishStep{Number: r.Number}, attempt{}) })
	case cost.Prefilled:
		w.score.Computed(w.now.Sub(w.start), r.Blocks)
		w.saveToStore(r.Blocks)
	case cost.CacheChanged:
		if w.random.Float64() >= w.load.EventLoss {
			e.events = append(e.events, r.Event)
		}
	case cost.Accepted:
		w.replyToDecider(r.ID, false, func(a attempt) cell.Message {
			return cell.Started{Job: a.call.Job.ID, Attempt: a.number, Accepted: engine.Accepted{
				Engine: e.name, Incarnation: r.Incarnation, WeightVersion: "1", CachedTokens: r.Cached, PromptTokens: a.call.Job.PromptTokens,
			}}
		})
	case cost.FirstToken:
		w.firstToken(r)
	default:
		w.endAttempt(reply)
	}
}

func (w *World) firstToken(r cost.FirstToken) {
	w.replyToDecider(r.ID, false, func(a attempt) cell.Message {
		if !a.call.gotFirstToken {
			a.call.gotFirstToken = true
			w.score.First(&a.call.Request, w.now.Sub(a.call.startedAt), r.Cached)
		}
		return cell.FirstToken{Job: a.call.Job.ID, Attempt: a.number}
	})
}

func (w *World) endAttempt(reply cost.Reply) {
	switch r := reply.(type) {
	case cost.Finished:
		w.replyToDecider(r.ID, true, func(a attempt) cell.Message {
			a.call.done = true
			return cell.Ended{
				Job: a.call.Job.ID, Attempt: a.number, Outcome: effect.Answered{},
				Done: engine.Done{PromptTokens: a.call.Job.PromptTokens, CachedTokens: r.Cached, OutputTokens: r.Output},
			}
		})
	case cost.Refused:
		w.replyToDecider(r.ID, true, func(a attempt) cell.Message {
			return cell.Ended{Job: a.call.Job.ID, Attempt: a.number, Outcome: effect.NotRun{Reason: string(r.Code)}, Code: r.Code}
		})
	case cost.Aborted:
		w.replyToDecider(r.ID, true, func(a attempt) cell.Message {
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
func (w *World) replyToDecider(id string, final bool, message func(attempt) cell.Message) {
	a, ok := w.attempts[id]
	if !ok {
		return
	}
	if final {
		delete(w.attempts, id)
	}
	w.after(hopDelay, func() {
		if a.call.done || a.call.instance != a.instance {
			return
		}
		w.deliver(a.instance, message(a))
	})
}

func (w *World) cancelAttempt(c cell.Cancel) {
	request := w.calls[c.Job]
	target := request.targets[c.Attempt]
	delete(request.targets, c.Attempt)
	if e, ok := w.engines[target]; ok {
		id := attemptID(c.Job, c.Attempt, w.generation)
		delete(w.attempts, id)
		w.after(hopDelay, func() { w.updateEngine(e, cost.Cancel{ID: id}, attempt{}) })
	}
}

// tick sends a periodic tick to every decider.
func (w *World) tick() {
	for _, app := range w.load.Site.Apps {
		for _, d := range w.deciders[app.Name] {
			w.deliver(d, cell.Tick{})
		}
	}
	w.after(tickInterval, w.tick)
}

// reportEngines schedules the delivery of load reports and cache events to the
// deciders.
func (w *World) reportEngines() {
	for _, e := range w.engineList {
		load := e.engine.Load()
		load.Age = w.load.ReportLag
		batch := engine.CacheEvents{Incarnation: e.engine.Incarnation(), Events: e.events}
		e.events = nil
		w.after(w.load.ReportLag, func() { w.broadcast(e.app, cell.LoadReport{Target: e.name, Load: load}) })
		if len(batch.Events) > 0 {
			w.after(w.load.EventLag, func() { w.broadcast(e.app, cell.CacheEvents{Target: e.name, Batch: batch}) })
		}
	}
	w.after(reportInterval, w.reportEngines)
}

func (w *World) broadcast(app string, message cell.Message) {
	for _, d := range w.deciders[app] {
		w.deliver(d, message)
	}
}

func (w *World) inject(fault trace.Fault) {
	switch f := fault.(type) {
	case trace.Crash:
		e := w.engines[f.Engine]
		w.updateEngine(e, cost.Crash{}, attempt{})
		e.events = nil
		w.after(f.Down, func() { w.updateEngine(e, cost.Restart{}, attempt{}) })
	case trace.Leave:
		e := w.engines[f.Engine]
		w.updateEngine(e, cost.Drain{}, attempt{})
		w.after(f.Lag, func() { w.broadcast(e.app, cell.Leaving{Target: e.name}) })
	case trace.Restart:
		w.restartRouters(f)
	}
}

// restartRouters replaces all deciders. Callers resend the requests that were
// interrupted.
func (w *World) restartRouters(f trace.Restart) {
	for _, id := range slices.Sorted(maps.Keys(w.attempts)) {
		w.updateEngine(w.attempts[id].engine, cost.Cancel{ID: id}, attempt{})
	}
	w.attempts = map[string]attempt{}
	if f.EmptyEngines {
		for _, e := range w.engineList {
			w.updateEngine(e, cost.Crash{}, attempt{})
			w.updateEngine(e, cost.Restart{}, attempt{})
			e.events = nil
		}
	}
	w.startDeciders()
	for i := range w.load.Requests {
		c, ok := w.calls[w.load.Requests[i].Job.ID]
		if !ok || c.done {
			continue
		}
		c.done = true
		retry := &call{Request: c.Request, targets: map[int]string{}}
		retry.At = f.At + time.Duration(w.random.Float64()*float64(resendSpread))
		retry.Job.ID += "again"
		w.scheduleRetry(retry)
	}
}

func (w *World) scheduleRetry(c *call) {
	w.queue.add(w.start.Add(c.At), func() {
		c.startedAt = w.now
		w.calls[c.Job.ID] = c
		w.score.Offer(&c.Request)
		w.route(c)
		w.after(c.Job.Deadline, func() { w.timeOut(c) })
	})
}
