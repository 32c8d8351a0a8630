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

// attempt ties an engine's replies to the request and the decider behind it.
type attempt struct {
	call   *call
	desk   *desk
	number int
	engine *node
	id     string
}

func (w *World) dispatch(d *desk, start cell.Start) {
	c := w.calls[start.Job]
	a := attempt{call: c, desk: d, number: start.Attempt, engine: w.engines[start.Target], id: attemptID(start.Job, start.Attempt, w.epoch)}
	c.ran[start.Attempt] = start.Target
	w.after(hop, func() { w.submit(a, start) })
}

func (w *World) submit(a attempt, start cell.Start) {
	if a.call.over || a.call.ran[a.number] == "" {
		return
	}
	w.apply(a.engine, cost.Submit{
		ID: a.id, Blocks: a.call.Job.Blocks, PromptTokens: a.call.Job.PromptTokens,
		Output: a.call.Output, Priority: start.Priority, Incarnation: start.Incarnation,
	}, a)
}

// apply hands a message to an engine and carries out its replies.
func (w *World) apply(n *node, message cost.Message, a attempt) {
	if a.call != nil {
		w.ongoing[a.id] = a
	}
	for _, reply := range n.engine.Update(w.now, message) {
		w.handle(n, reply)
	}
}

func (w *World) handle(n *node, reply cost.Reply) {
	switch r := reply.(type) {
	case cost.Next:
		w.queue.add(r.At, func() { w.apply(n, cost.Step{Number: r.Number}, attempt{}) })
	case cost.Computed:
		w.score.Computed(w.now.Sub(w.start), r.Blocks)
		w.keep(r.Blocks)
	case cost.Cached:
		if w.random.Float64() >= w.load.EventLoss {
			n.events = append(n.events, r.Event)
		}
	case cost.Took:
		w.back(r.ID, false, func(a attempt) cell.Message {
			return cell.Started{Job: a.call.Job.ID, Attempt: a.number, Accepted: engine.Accepted{
				Engine: n.name, Incarnation: r.Incarnation, WeightVersion: "1", CachedTokens: r.Cached, PromptTokens: a.call.Job.PromptTokens,
			}}
		})
	case cost.First:
		w.firstToken(r)
	default:
		w.ended(reply)
	}
}

func (w *World) firstToken(r cost.First) {
	w.back(r.ID, false, func(a attempt) cell.Message {
		if !a.call.first {
			a.call.first = true
			w.score.First(&a.call.Request, w.now.Sub(a.call.began), r.Cached)
		}
		return cell.First{Job: a.call.Job.ID, Attempt: a.number}
	})
}

func (w *World) ended(reply cost.Reply) {
	switch r := reply.(type) {
	case cost.Finished:
		w.back(r.ID, true, func(a attempt) cell.Message {
			a.call.over = true
			return cell.Ended{
				Job: a.call.Job.ID, Attempt: a.number, Outcome: effect.Answered{},
				Done: engine.Done{PromptTokens: a.call.Job.PromptTokens, CachedTokens: r.Cached, OutputTokens: r.Output},
			}
		})
	case cost.Refused:
		w.back(r.ID, true, func(a attempt) cell.Message {
			return cell.Ended{Job: a.call.Job.ID, Attempt: a.number, Outcome: effect.NotRun{Reason: string(r.Code)}, Code: r.Code}
		})
	case cost.Lost:
		w.back(r.ID, true, func(a attempt) cell.Message {
			sent := 0
			if a.call.first {
				sent = 1
			}
			return cell.Ended{Job: a.call.Job.ID, Attempt: a.number, Outcome: effect.Unknown{Reason: "lost"}, Code: engine.Broken, Sent: sent}
		})
	}
}

// back carries an engine's reply to the decider, one hop later. The last reply
// ends the attempt.
func (w *World) back(id string, last bool, message func(attempt) cell.Message) {
	a, ok := w.ongoing[id]
	if !ok {
		return
	}
	if last {
		delete(w.ongoing, id)
	}
	w.after(hop, func() {
		if a.call.over || a.call.desk != a.desk {
			return
		}
		w.tell(a.desk, message(a))
	})
}

func (w *World) stop(c cell.Stop) {
	request := w.calls[c.Job]
	target := request.ran[c.Attempt]
	delete(request.ran, c.Attempt)
	if n, ok := w.engines[target]; ok {
		id := attemptID(c.Job, c.Attempt, w.epoch)
		delete(w.ongoing, id)
		w.after(hop, func() { w.apply(n, cost.Cancel{ID: id}, attempt{}) })
	}
}

// tick tells every decider that time passes.
func (w *World) tick() {
	for _, app := range w.load.Site.Apps {
		for _, d := range w.cells[app.Name] {
			w.tell(d, cell.Tick{})
		}
	}
	w.after(tickInterval, w.tick)
}

// report sends load reports and cache events on their way.
func (w *World) report() {
	for _, n := range w.order {
		load := n.engine.Load()
		load.Age = w.load.ReportLag
		batch := engine.Batch{Incarnation: n.engine.Incarnation(), Events: n.events}
		n.events = nil
		w.after(w.load.ReportLag, func() { w.broadcast(n.app, cell.Reported{Target: n.name, Load: load}) })
		if len(batch.Events) > 0 {
			w.after(w.load.EventLag, func() { w.broadcast(n.app, cell.Cached{Target: n.name, Batch: batch}) })
		}
	}
	w.after(reportInterval, w.report)
}

func (w *World) broadcast(app string, message cell.Message) {
	for _, d := range w.cells[app] {
		w.tell(d, message)
	}
}

func (w *World) fail(fault trace.Fault) {
	switch f := fault.(type) {
	case trace.Crash:
		n := w.engines[f.Engine]
		w.apply(n, cost.Crash{}, attempt{})
		n.events = nil
		w.after(f.Down, func() { w.apply(n, cost.Return{}, attempt{}) })
	case trace.Leave:
		n := w.engines[f.Engine]
		w.apply(n, cost.Leave{}, attempt{})
		w.after(f.Lag, func() { w.broadcast(n.app, cell.Leaving{Target: n.name}) })
	case trace.Restart:
		w.restart(f)
	}
}

// restart replaces all deciders; callers send again what was cut.
func (w *World) restart(f trace.Restart) {
	for _, id := range slices.Sorted(maps.Keys(w.ongoing)) {
		w.apply(w.ongoing[id].engine, cost.Cancel{ID: id}, attempt{})
	}
	w.ongoing = map[string]attempt{}
	if f.EmptyEngines {
		for _, n := range w.order {
			w.apply(n, cost.Crash{}, attempt{})
			w.apply(n, cost.Return{}, attempt{})
			n.events = nil
		}
	}
	w.open()
	for i := range w.load.Requests {
		c, ok := w.calls[w.load.Requests[i].Job.ID]
		if !ok || c.over {
			continue
		}
		c.over = true
		again := &call{Request: c.Request, ran: map[int]string{}}
		again.At = f.At + time.Duration(w.random.Float64()*float64(resendSpread))
		again.Job.ID += "again"
		w.resend(again)
	}
}

func (w *World) resend(c *call) {
	w.queue.add(w.start.Add(c.At), func() {
		c.began = w.now
		w.calls[c.Job.ID] = c
		w.score.Offer(&c.Request)
		w.enter(c)
		w.after(c.Job.Deadline, func() { w.giveUp(c) })
	})
}
