// Package world is a discrete-event simulation of routers and engines. It runs
// routing decisions against the cost model of engines in virtual time. The only
// network effect that it models is a fixed delay between two processes.
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

// Decider makes the routing decisions for a set of engines.
type Decider interface {
	// Update processes a message and returns the resulting commands.
	Update(now time.Time, message cell.Message) []cell.Command
}

// Teller is implemented by deciders that share their in-flight load with other
// deciders.
type Teller interface {
	// Flights returns the decider's load in flight by engine.
	Flights() []cell.EngineLoad
}

// Options configures the deciders of a run.
type Options struct {
	// Make returns a decider in its initial state.
	Make func(site trace.Site, seed uint64) Decider
	// Alone runs an independent decider on every router. Otherwise all routers
	// forward their requests to a single decider for each application.
	Alone bool
	// Gossip is the interval at which deciders exchange their in-flight load.
	// Zero disables the exchange.
	Gossip time.Duration
	// Store makes a KV store available to the deciders.
	Store bool
}

const (
	// hopDelay is the network delay between two processes.
	hopDelay       = time.Millisecond
	tickInterval   = 100 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	snapshotDelay  = 50 * time.Millisecond
	// importLatency is the fixed time of an import, in addition to the transfer.
	importLatency      = 20 * time.Millisecond
	importTimePerBlock = 25 * time.Millisecond
	// storeTimePerBlock is the time in which the KV store reads one block.
	storeTimePerBlock = 5 * time.Millisecond
	// storeCapacity is the capacity of the KV store in blocks.
	storeCapacity = 8192
	// resendSpread bounds the random delay after which a caller resends an
	// interrupted request.
	resendSpread = time.Second
	// minRetryDelay is the shortest delay before a refused request is retried.
	minRetryDelay = 100 * time.Millisecond
)

// World is the state of one run.
type World struct {
	options     Options
	load        trace.Load
	now         time.Time
	start       time.Time
	queue       queue
	random      *rand.Rand
	engines     map[string]*simEngine
	engineList  []*simEngine
	deciders    map[string][]*instance
	calls       map[string]*call
	score       *score.Score
	generation  int
	store       *simplelru.LRU[uint64, struct{}]
	storeFreeAt time.Time
	attempts    map[string]attempt
}

// simEngine is a simulated engine with its cache events that are not yet
// reported.
type simEngine struct {
	name   string
	app    string
	engine *cost.Engine
	events []engine.CacheEvent
	// linkFreeAt is when the transfer of queued imports into the engine ends.
	linkFreeAt time.Time
}

// instance is a running decider of one application.
type instance struct {
	app     string
	decider Decider
}

// call is the state of a request during the run.
type call struct {
	trace.Request
	startedAt     time.Time
	instance      *instance
	gotFirstToken bool
	done          bool
	// targets maps attempt numbers to engine names.
	targets map[int]string
}

// Run simulates a load and returns its measurements.
//
//	result := world.Run(trace.Loads(trace.Kochi(), 1)[0], options)
func Run(load trace.Load, options Options) score.Result {
	w := &World{
		options: options, load: load, start: time.Unix(0, 0), now: time.Unix(0, 0),
		random:  rand.New(rand.NewPCG(1, 2)),
		engines: map[string]*simEngine{}, attempts: map[string]attempt{}, deciders: map[string][]*instance{}, calls: map[string]*call{},
		score: score.New(load),
	}
	for _, app := range load.Site.Apps {
		for _, o := range app.Engines {
			e := &simEngine{name: o.Name, app: app.Name, engine: cost.New(o)}
			w.engines[o.Name] = e
			w.engineList = append(w.engineList, e)
		}
	}
	w.store, _ = simplelru.NewLRU[uint64, struct{}](storeCapacity, nil)
	w.startDeciders()
	for i := range load.Requests {
		w.schedule(&load.Requests[i])
	}
	for _, f := range load.Faults {
		w.queue.add(w.start.Add(f.When()), func() { w.inject(f) })
	}
	w.queue.add(w.now, w.tick)
	w.queue.add(w.now, w.reportEngines)
	if w.options.Gossip > 0 {
		w.queue.add(w.now, w.gossip)
	}
	w.processEvents()
	return w.score.Result()
}

func (w *World) processEvents() {
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

// startDeciders replaces all deciders with new ones that hold no state.
func (w *World) startDeciders() {
	w.generation++
	count := 1
	if w.options.Alone {
		count = trace.Routers
	}
	for _, app := range w.load.Site.Apps {
		w.deciders[app.Name] = nil
		for i := range count {
			d := &instance{app: app.Name, decider: w.options.Make(w.load.Site, uint64(w.generation*100+i))}
			w.deciders[app.Name] = append(w.deciders[app.Name], d)
			w.deliver(d, w.targetsMessage(app))
		}
	}
}

func (w *World) targetsMessage(app trace.App) cell.Targets {
	m := cell.Targets{HasStore: w.options.Store, Shares: app.Shares(), TailTTFT: w.load.Site.TailTTFT, Recomputation: w.load.Site.Recomputation}
	for _, o := range app.Engines {
		m.All = append(m.All, cell.Target{Name: o.Name, Model: "quay-7b", Applications: []string{app.Name}, Capacity: 1, CacheBlocks: o.CacheBlocks})
	}
	return m
}

func (w *World) after(d time.Duration, run func()) { w.queue.add(w.now.Add(d), run) }

func (w *World) schedule(r *trace.Request) {
	w.queue.add(w.start.Add(r.At), func() {
		c := &call{Request: *r, startedAt: w.now, targets: map[int]string{}}
		w.calls[r.Job.ID] = c
		w.score.Offer(r)
		w.route(c)
		w.after(r.Job.Deadline, func() { w.timeOut(c) })
	})
}

// route sends a request to the decider of its application or, if deciders are
// independent, to that of the router that the balancer picked.
func (w *World) route(c *call) {
	instances := w.deciders[c.Job.Application]
	c.instance = instances[0]
	delay := 2 * hopDelay
	if w.options.Alone {
		c.instance = instances[c.Router]
		delay = hopDelay
	}
	d := c.instance
	w.after(delay, func() {
		if c.instance == d && !c.done {
			j := c.Job
			j.Deadline -= w.now.Sub(c.startedAt)
			w.deliver(d, cell.Arrived{Job: j})
		}
	})
}

func (w *World) timeOut(c *call) {
	if c.gotFirstToken || c.done {
		return
	}
	c.done = true
	w.score.Fail(&c.Request)
	w.deliver(c.instance, cell.Cancelled{Job: c.Job.ID})
}

// deliver passes a message to a decider and executes the resulting commands.
func (w *World) deliver(d *instance, message cell.Message) {
	for _, command := range d.decider.Update(w.now, message) {
		w.execute(d, command)
	}
}

func (w *World) execute(d *instance, command cell.Command) {
	switch c := command.(type) {
	case cell.Start:
		w.startAttempt(d, c)
	case cell.Refuse:
		w.refuse(c)
	case cell.Cancel:
		w.cancelAttempt(c)
	case cell.FetchSnapshot:
		w.after(snapshotDelay, func() {
			w.deliver(d, cell.Snapshot{Target: c.Target, Snapshot: w.engines[c.Target].engine.Snapshot()})
		})
	case cell.Import:
		w.importBlocks(d, c)
	case cell.Wake:
		w.queue.add(c.At, func() { w.deliver(d, cell.Tick{}) })
	}
}

func (w *World) refuse(c cell.Refuse) {
	request := w.calls[c.Job]
	if request.done {
		return
	}
	w.score.Refuse(&request.Request)
	wait := max(c.RetryAfter, minRetryDelay)
	if c.RetryAfter > 0 && w.now.Add(wait).Before(request.startedAt.Add(request.Job.Deadline)) {
		w.after(wait, func() {
			if !request.done {
				w.route(request)
			}
		})
	}
}

// attemptID returns the ID of an attempt at the engines. The generation keeps
// the attempts of replaced deciders apart from those of their successors.
func attemptID(job string, attempt, generation int) string {
	return fmt.Sprintf("%s.%d.%d", job, attempt, generation)
}
