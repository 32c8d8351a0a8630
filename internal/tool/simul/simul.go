// Package simul is a discrete-event simulation of routers and engines. It runs
// routing decisions against the cost model of engines in virtual time. The only
// network effect that it models is a fixed delay between two processes.
package simul

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/standin/cost"
	"github.com/cicadamill/cicadamill/internal/target/engine"
	"github.com/cicadamill/cicadamill/internal/tool/score"
	"github.com/cicadamill/cicadamill/internal/tool/synth"
)

// Decider makes the routing decisions for a set of engines.
type Decider interface {
	// Update processes a message and returns the resulting commands.
	Update(now time.Time, message cell.Message) []cell.Command
}

// LoadSharer is implemented by deciders that share their in-flight load with other
// deciders.
type LoadSharer interface {
	// Flights returns the decider's load in flight by engine.
	Flights() []cell.EngineLoad
}

// Options configures the deciders of a run.
type Options struct {
	// NewDecider returns a decider in its initial state.
	NewDecider func(site synth.Site, seed uint64) Decider
	// Independent runs an independent decider on every router. Otherwise all routers
	// forward their requests to a single decider for each application.
	Independent bool
	// GossipInterval is the interval at which deciders exchange their in-flight load.
	// Zero disables the exchange.
	GossipInterval time.Duration
	// HasStore makes a KV store available to the deciders.
	HasStore bool
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

// Simulation is the state of one run.
type Simulation struct {
	options     Options
	load        synth.Load
	now         time.Time
	start       time.Time
	queue       queue
	random      *rand.Rand
	engines     map[string]*simEngine
	engineList  []*simEngine
	deciders    map[string][]*instance
	calls       map[string]*call
	score       *score.Collector
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
	synth.Request
	startedAt     time.Time
	instance      *instance
	gotFirstToken bool
	done          bool
	// targets maps attempt numbers to engine names.
	targets map[int]string
}

// Run simulates a load and returns its measurements.
//
//	result := simul.Run(synth.Loads(synth.Kochi(), 1)[0], options)
func Run(load synth.Load, options Options) score.Result {
	w := &Simulation{
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
	if w.options.GossipInterval > 0 {
		w.queue.add(w.now, w.gossip)
	}
	w.processEvents()
	return w.score.Result()
}

func (s *Simulation) processEvents() {
	limit := s.start.Add(s.load.MeasureTo + 2*time.Minute)
	for {
		next, ok := s.queue.next()
		if !ok || next.at.After(limit) {
			return
		}
		s.now = next.at
		next.run()
	}
}

// startDeciders replaces all deciders with new ones that hold no state.
func (s *Simulation) startDeciders() {
	s.generation++
	count := 1
	if s.options.Independent {
		count = synth.RouterCount
	}
	for _, app := range s.load.Site.Apps {
		s.deciders[app.Name] = nil
		for i := range count {
			d := &instance{app: app.Name, decider: s.options.NewDecider(s.load.Site, uint64(s.generation*100+i))}
			s.deciders[app.Name] = append(s.deciders[app.Name], d)
			s.deliver(d, s.targetsMessage(app))
		}
	}
}

func (s *Simulation) targetsMessage(app synth.App) cell.Targets {
	m := cell.Targets{HasStore: s.options.HasStore, Shares: app.Shares(), TailTTFT: s.load.Site.TailTTFT, Recomputation: s.load.Site.Recomputation}
	for _, o := range app.Engines {
		m.All = append(m.All, cell.Target{Name: o.Name, Model: "quay-7b", Applications: []string{app.Name}, Capacity: 1, CacheBlocks: o.CacheBlocks})
	}
	return m
}

func (s *Simulation) after(d time.Duration, run func()) { s.queue.add(s.now.Add(d), run) }

func (s *Simulation) schedule(r *synth.Request) {
	s.queue.add(s.start.Add(r.At), func() {
		c := &call{Request: *r, startedAt: s.now, targets: map[int]string{}}
		s.calls[r.Job.ID] = c
		s.score.Offer(r)
		s.route(c)
		s.after(r.Job.Deadline, func() { s.timeOut(c) })
	})
}

// route sends a request to the decider of its application or, if deciders are
// independent, to that of the router that the balancer picked.
func (s *Simulation) route(c *call) {
	instances := s.deciders[c.Job.Application]
	c.instance = instances[0]
	delay := 2 * hopDelay
	if s.options.Independent {
		c.instance = instances[c.Router]
		delay = hopDelay
	}
	d := c.instance
	s.after(delay, func() {
		if c.instance == d && !c.done {
			j := c.Job
			j.Deadline -= s.now.Sub(c.startedAt)
			s.deliver(d, cell.Arrived{Job: j})
		}
	})
}

func (s *Simulation) timeOut(c *call) {
	if c.gotFirstToken || c.done {
		return
	}
	c.done = true
	s.score.TimedOut(&c.Request)
	s.deliver(c.instance, cell.Cancelled{Job: c.Job.ID})
}

// deliver passes a message to a decider and executes the resulting commands.
func (s *Simulation) deliver(d *instance, message cell.Message) {
	for _, command := range d.decider.Update(s.now, message) {
		s.execute(d, command)
	}
}

func (s *Simulation) execute(d *instance, command cell.Command) {
	switch c := command.(type) {
	case cell.Start:
		s.startAttempt(d, c)
	case cell.Refuse:
		s.refuse(c)
	case cell.Cancel:
		s.cancelAttempt(c)
	case cell.FetchSnapshot:
		s.after(snapshotDelay, func() {
			s.deliver(d, cell.Snapshot{Target: c.Target, Snapshot: s.engines[c.Target].engine.Snapshot()})
		})
	case cell.Import:
		s.importBlocks(d, c)
	case cell.Wake:
		s.queue.add(c.At, func() { s.deliver(d, cell.Tick{}) })
	}
}

func (s *Simulation) refuse(c cell.Refuse) {
	request := s.calls[c.Job]
	if request.done {
		return
	}
	s.score.Refuse(&request.Request)
	wait := max(c.RetryAfter, minRetryDelay)
	if c.RetryAfter > 0 && s.now.Add(wait).Before(request.startedAt.Add(request.Job.Deadline)) {
		s.after(wait, func() {
			if !request.done {
				s.route(request)
			}
		})
	}
}

// attemptID returns the ID of an attempt at the engines. The generation keeps
// the attempts of replaced deciders apart from those of their successors.
func attemptID(job string, attempt, generation int) string {
	return fmt.Sprintf("%s.%d.%d", job, attempt, generation)
}
