// Package world runs routing decisions against the cost model of engines in
// virtual time: one queue of events, a fixed delay between parties and nothing
// else of a network.
package world

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/standin/cost"
	"github.com/cicadamill/cicadamill/internal/target/engine"
	"github.com/cicadamill/cicadamill/internal/tool/score"
	"github.com/cicadamill/cicadamill/internal/tool/trace"
)

// Decider decides for one set of engines.
type Decider interface {
	Update(now time.Time, message cell.Message) []cell.Command
}

// Teller is a decider that can tell others what it has in flight.
type Teller interface {
	Flights() []cell.Flight
}

// Options say who decides.
type Options struct {
	// Make returns a decider that has just started, from a seed.
	Make func(site trace.Site, seed uint64) Decider
	// Alone lets every router decide for itself; otherwise all hand their
	// requests to one home.
	Alone bool
	// Gossip is the interval at which routers tell each other what they have in
	// flight; zero means never.
	Gossip time.Duration
	// Store tells the deciders that there is a KV store.
	Store bool
}

const (
	hop            = time.Millisecond
	tickInterval   = 100 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	fetchTime      = 50 * time.Millisecond
	importBase     = 20 * time.Millisecond
	importPerBlock = 25 * time.Millisecond
	storePerBlock  = 5 * time.Millisecond
	storeBlocks    = 8192
	resendSpread   = time.Second
	minRetry       = 100 * time.Millisecond
)

// World is one run.
type World struct {
	options Options
	load    trace.Load
	now     time.Time
	start   time.Time
	queue   queue
	random  *rand.Rand
	engines map[string]*node
	order   []*node
	cells   map[string][]*desk
	calls   map[string]*call
	score   *score.Score
	epoch   int
	store   *simplelru.LRU[uint64, struct{}]
	stored  time.Time
	ongoing map[string]attempt
}

// node is an engine with the events that routers have not got yet.
type node struct {
	name   string
	app    string
	engine *cost.Engine
	events []engine.CacheEvent
	// linked is when the engine's import link is free again.
	linked time.Time
}

// desk is one decider.
type desk struct {
	app     string
	decider Decider
}

// call is one request during the run.
type call struct {
	trace.Request
	began time.Time
	desk  *desk
	first bool
	over  bool
	ran   map[int]string
}

// Run runs a load to its end and returns the figures.
//
//	result := world.Run(trace.Loads(trace.Kochi(), 1)[0], options)
func Run(load trace.Load, options Options) score.Result {
	w := &World{
		options: options, load: load, start: time.Unix(0, 0), now: time.Unix(0, 0),
		random:  rand.New(rand.NewPCG(1, 2)),
		engines: map[string]*node{}, ongoing: map[string]attempt{}, cells: map[string][]*desk{}, calls: map[string]*call{},
		score: score.New(load),
	}
	for _, app := range load.Site.Apps {
		for _, o := range app.Engines {
			n := &node{name: o.Name, app: app.Name, engine: cost.New(o)}
			w.engines[o.Name] = n
			w.order = append(w.order, n)
		}
	}
	w.store, _ = simplelru.NewLRU[uint64, struct{}](storeBlocks, nil)
	w.open()
	for i := range load.Requests {
		w.schedule(&load.Requests[i])
	}
	for _, f := range load.Faults {
		w.queue.add(w.start.Add(f.When()), func() { w.fail(f) })
	}
	w.queue.add(w.now, w.tick)
	w.queue.add(w.now, w.report)
	if w.options.Gossip > 0 {
		w.queue.add(w.now, w.gossip)
	}
	w.loop()
	return w.score.Result()
}

func (w *World) loop() {
	limit := w.start.Add(w.load.To + 2*time.Minute)
	for {
		next, ok := w.queue.next()
		if !ok || next.at.After(limit) {
			return
		}
		w.now = next.at
		next.run()
	}
}

// open starts all deciders afresh.
func (w *World) open() {
	w.epoch++
	count := 1
	if w.options.Alone {
		count = trace.Routers
	}
	for _, app := range w.load.Site.Apps {
		w.cells[app.Name] = nil
		for i := range count {
			d := &desk{app: app.Name, decider: w.options.Make(w.load.Site, uint64(w.epoch*100+i))}
			w.cells[app.Name] = append(w.cells[app.Name], d)
			w.tell(d, w.targets(app))
		}
	}
}

func (w *World) targets(app trace.App) cell.Targets {
	m := cell.Targets{HasStore: w.options.Store, Shares: app.Shares(), TailTTFT: w.load.Site.TailTTFT, Recomputation: w.load.Site.Recomputation}
	for _, o := range app.Engines {
		m.All = append(m.All, cell.Target{Name: o.Name, Model: "quay-7b", Applications: []string{app.Name}, Capacity: 1, CacheBlocks: o.CacheBlocks})
	}
	return m
}

func (w *World) after(d time.Duration, run func()) { w.queue.add(w.now.Add(d), run) }

func (w *World) schedule(r *trace.Request) {
	w.queue.add(w.start.Add(r.At), func() {
		c := &call{Request: *r, began: w.now, ran: map[int]string{}}
		w.calls[r.Job.ID] = c
		w.score.Offer(r)
		w.enter(c)
		w.after(r.Job.Deadline, func() { w.giveUp(c) })
	})
}

// enter hands a request to whoever decides.
func (w *World) enter(c *call) {
	desks := w.cells[c.Job.Application]
	c.desk = desks[0]
	delay := 2 * hop
	if w.options.Alone {
		c.desk = desks[c.Router]
		delay = hop
	}
	d := c.desk
	w.after(delay, func() {
		if c.desk == d && !c.over {
			j := c.Job
			j.Deadline -= w.now.Sub(c.began)
			w.tell(d, cell.Arrived{Job: j})
		}
	})
}

func (w *World) giveUp(c *call) {
	if c.first || c.over {
		return
	}
	c.over = true
	w.score.Fail(&c.Request)
	w.tell(c.desk, cell.Cancelled{Job: c.Job.ID})
}

// tell hands a message to a decider and carries out its commands.
func (w *World) tell(d *desk, message cell.Message) {
	for _, command := range d.decider.Update(w.now, message) {
		w.carry(d, command)
	}
}

func (w *World) carry(d *desk, command cell.Command) {
	switch c := command.(type) {
	case cell.Start:
		w.dispatch(d, c)
	case cell.Refuse:
		w.refuse(c)
	case cell.Stop:
		w.stop(c)
	case cell.Fetch:
		w.after(fetchTime, func() {
			w.tell(d, cell.Snapshot{Target: c.Target, Snapshot: w.engines[c.Target].engine.Snapshot()})
		})
	case cell.Import:
		w.bring(d, c)
	case cell.Wake:
		w.queue.add(c.At, func() { w.tell(d, cell.Tick{}) })
	}
}

func (w *World) refuse(c cell.Refuse) {
	request := w.calls[c.Job]
	if request.over {
		return
	}
	w.score.Refuse(&request.Request)
	wait := max(c.RetryAfter, minRetry)
	if c.RetryAfter > 0 && w.now.Add(wait).Before(request.began.Add(request.Job.Deadline)) {
		w.after(wait, func() {
			if !request.over {
				w.enter(request)
			}
		})
	}
}

func attemptID(job string, attempt, epoch int) string {
	return fmt.Sprintf("%s.%d.%d", job, attempt, epoch)
}
