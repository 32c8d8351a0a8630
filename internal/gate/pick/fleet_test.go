package pick_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/call"
	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/gate/timing"
)

// deployment describes the hosts, engines and requests of a simulated fleet; see
// docs/design/overload.md for the figures of the two that are simulated here.
type deployment struct {
	hosts, engines int
	plan           plan.Engines
	// step is the time of one step without a chunk, perToken the prefill time per token,
	// chunk the most prompt tokens in one step. The first event comes firstTokenDelay
	// after the prefill.
	step, perToken time.Duration
	chunk          int
	// speeds are the usual speeds of the engines, in turn.
	speeds []float64
	// noise is true if engines take 2.5 times as long for 0.6 s, 15 in 100 at any time.
	noise bool
	kinds []kind
}

// kind is a kind of prompt.
type kind struct {
	name                string
	perSecond           float64
	parts               [2]int
	own, output         int
	sheets              int
	objective, deadline time.Duration
}

func quotes() deployment {
	return deployment{
		hosts: 64, engines: 140, plan: plan.Engines{Slots: 12, CacheTokens: 84_772, TokenBytes: 163_840, LinkMbps: 180_000},
		step: 6350 * time.Microsecond, perToken: 23 * time.Microsecond, chunk: 4096, speeds: []float64{1},
		kinds: []kind{
			{name: "long", perSecond: 164, parts: [2]int{2500, 3800}, own: 2890, output: 10, sheets: 200, objective: 1500 * time.Millisecond, deadline: 6 * time.Second},
			{name: "short", perSecond: 228, parts: [2]int{98, 100}, own: 628, output: 50, sheets: 200, objective: 500 * time.Millisecond, deadline: 15 * time.Second},
		},
	}
}

func tracker() deployment {
	return deployment{
		hosts: 73, engines: 60, plan: plan.Engines{Slots: 48, CacheTokens: 69_938, TokenBytes: 131_072, LinkMbps: 1_100_000},
		step: 4730 * time.Microsecond, perToken: 26 * time.Microsecond, chunk: 2048, speeds: []float64{0.7, 0.7, 1.7}, noise: true,
		kinds: []kind{
			{name: "long", perSecond: 92, parts: [2]int{2500, 3800}, own: 2890, output: 10, sheets: 200, objective: 800 * time.Millisecond, deadline: 5 * time.Second},
			{name: "short", perSecond: 240, parts: [2]int{98, 100}, own: 628, output: 50, sheets: 200, objective: time.Second, deadline: 15 * time.Second},
		},
	}
}

// fleet simulates hosts that choose independently, with reports that are 0.15 to 0.3 s
// old, among engines that prefill one chunk per step beside the running requests.
type fleet struct {
	deployment
	random  *rand.Rand
	now     time.Time
	pickers []*pick.Picker
	// start returns a host that has just started.
	start func(index int) *pick.Picker
	// parts and timings are the positions of each host's reports, sent the reports on
	// their way.
	parts, timings []uint64
	sent           []pick.Report
	sims           []*simEngine
	byID           map[string]*simEngine
	waiting        []*simRun
	// starting are the requests whose first event is due.
	starting []*simRun
	number   int
	// workspaces are the workspaces that send requests; none if empty.
	workspaces []string
	// rate returns the factor on the rate of a kind of prompt now, slowness that on the
	// times of an engine.
	rate     func(kind string) float64
	slowness func(engine int) float64
	// dispatched is called for each request that is sent, answered at its first event
	// and lost for each that is refused.
	dispatched, answered func(*simRun)
	lost                 func(*simRun)
	// turnedSlow counts how often the first host took an engine for slow.
	turnedSlow int
	slow       []string
}

// simRun is a request.
type simRun struct {
	kind       kind
	host       *pick.Picker
	request    pick.Request
	arrived    time.Time
	sentAt     time.Time
	readyAt    time.Time
	firstAt    time.Time
	asked      time.Time
	engine     *simEngine
	dispatch   pick.Dispatch
	run        *pick.Run
	unread     int
	outputLeft int
}

// simEngine is an engine that runs steps while it has work.
type simEngine struct {
	index   int
	speed   float64
	queue   []*simRun
	running []*simRun
	// stepEnd is the end of the present step; zero if the engine is idle.
	stepEnd time.Time
	reading []*simRun
	read    []int
	// noisyFrom and noisyTo are the present or next period of noise.
	noisyFrom, noisyTo time.Time
}

const (
	noiseTime, noiseFactor = 600 * time.Millisecond, 2.5
	noiseGap               = 3400 * time.Millisecond
	// perPair is the time of attention for a pair of a new and a context token.
	perPair = 1.0 / 1e6 * float64(time.Millisecond)
	tick    = time.Millisecond
	// pollEvery is how often a host asks again for a waiting request.
	pollEvery = 15 * time.Millisecond
)

func newFleet(d deployment, seed uint64) *fleet {
	p := plan.New(plan.Plan{Version: 1, Services: map[string]plan.Service{"lm": {Name: "lm", Engines: &d.plan}}}, nil, nil)
	f := &fleet{
		deployment: d, random: rand.New(rand.NewPCG(seed, 1)), now: start, byID: map[string]*simEngine{},
		rate: func(string) float64 { return 1 }, slowness: func(int) float64 { return 1 },
		dispatched: func(*simRun) {}, answered: func(*simRun) {}, lost: func(*simRun) {},
		parts: make([]uint64, d.hosts), timings: make([]uint64, d.hosts),
	}
	targets := map[string]roster.Target{}
	for i := range d.engines {
		id := fmt.Sprint("e", i)
		targets[id] = roster.Target{
			ID: id, Born: 1, Service: "lm", Address: fmt.Sprint("10.0.0.", i, ":80"), DataCentre: fmt.Sprint("dc", i%3), Slots: d.plan.Slots,
			Versions: map[string]uint64{model: 1},
		}
		e := &simEngine{index: i, speed: d.speeds[i%len(d.speeds)]}
		e.noisyFrom = start.Add(time.Duration(f.random.ExpFloat64() * float64(noiseGap)))
		e.noisyTo = e.noisyFrom.Add(noiseTime)
		f.sims, f.byID[id] = append(f.sims, e), e
	}
	f.start = func(i int) *pick.Picker {
		s := pick.New(pick.Options{DataCentre: fmt.Sprint("dc", i%3), Seed: seed<<16 + uint64(i)})
		s.SetPlan(p)
		s.SetTargets(targets)
		s.SetNodes(d.hosts)
		s.Announce(start, model, pick.AnnouncedVersion{Version: 1, Age: time.Hour})
		return s
	}
	for i := range d.hosts {
		f.pickers = append(f.pickers, f.start(i))
	}
	return f
}

// restart starts all hosts again. The engines end the requests of the old ones, and the
// requests that wait are lost. restore is called with each new host.
func (f *fleet) restart(restore func(host *pick.Picker)) {
	for _, r := range f.waiting {
		f.lost(r)
	}
	f.waiting, f.sent = nil, nil
	for i := range f.pickers {
		f.pickers[i], f.parts[i], f.timings[i] = f.start(i), 0, 0
		restore(f.pickers[i])
	}
}

// factor returns how many times longer than usual an engine takes now.
func (f *fleet) factor(e *simEngine, now time.Time) float64 {
	factor := e.speed * f.slowness(e.index)
	if !f.noise {
		return factor
	}
	for now.After(e.noisyTo) {
		e.noisyFrom = e.noisyTo.Add(time.Duration(f.random.ExpFloat64() * float64(noiseGap)))
		e.noisyTo = e.noisyFrom.Add(noiseTime)
	}
	if now.After(e.noisyFrom) {
		factor *= noiseFactor
	}
	return factor
}

// startStep starts a step if the engine has work.
func (f *fleet) startStep(e *simEngine, now time.Time) {
	e.reading, e.read, e.stepEnd = e.reading[:0], e.read[:0], time.Time{}
	left, pairs := f.chunk, 0
	for _, r := range e.queue {
		if left == 0 {
			break
		}
		if r.readyAt.After(now) {
			continue
		}
		amount := min(left, r.unread)
		left -= amount
		pairs += amount * (r.request.Prompt.Tokens - r.unread + amount/2)
		e.reading, e.read = append(e.reading, r), append(e.read, amount)
	}
	if len(e.reading) == 0 && len(e.running) == 0 {
		if len(e.queue) > 0 {
			e.stepEnd = now.Add(tick)
		}
		return
	}
	duration := f.step + f.perToken*time.Duration(f.chunk-left) + time.Duration(float64(pairs)*perPair)
	e.stepEnd = now.Add(time.Duration(f.factor(e, now) * float64(duration)))
}

// endStep applies the results of a step.
func (f *fleet) endStep(e *simEngine, now time.Time) {
	for i, r := range e.reading {
		if r.unread -= e.read[i]; r.unread == 0 {
			e.queue = slices.DeleteFunc(e.queue, func(q *simRun) bool { return q == r })
			e.running = append(e.running, r)
			r.firstAt = now.Add(time.Duration(f.factor(e, now) * float64(firstTokenDelay)))
			f.starting = append(f.starting, r)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(r *simRun) bool {
		r.outputLeft--
		if r.outputLeft > 0 || now.Before(r.firstAt) {
			return false
		}
		f.firstEvents(now)
		r.host.Finish(now, r.run, pick.Completed)
		return true
	})
}

// firstEvents delivers the first events that are due.
func (f *fleet) firstEvents(now time.Time) {
	f.starting = slices.DeleteFunc(f.starting, func(r *simRun) bool {
		if r.firstAt.After(now) {
			return false
		}
		r.host.FirstToken(r.firstAt, r.run)
		f.answered(r)
		return true
	})
}

// arrive adds a request.
func (f *fleet) arrive(k kind) {
	sheet := f.random.IntN(k.sheets)
	f.number++
	prompt := call.Prompt{Model: model, Tokens: k.parts[0] + k.parts[1] + k.own, MaxOutput: k.output, Parts: []call.Part{
		{ID: k.name, Tokens: k.parts[0]}, {ID: fmt.Sprint(k.name, "-", sheet), Tokens: k.parts[1]}, {ID: fmt.Sprint("own-", f.number), Tokens: k.own},
	}}
	r := &simRun{kind: k, host: f.pickers[f.random.IntN(len(f.pickers))], arrived: f.now, outputLeft: k.output, request: pick.Request{
		Service: "lm", Idempotent: true, Prompt: prompt, Objective: k.objective,
	}}
	if len(f.workspaces) > 0 {
		r.request.Workspace = f.workspaces[f.random.IntN(len(f.workspaces))]
	}
	f.choose(r)
}

// choose asks for a target as the proxy does.
func (f *fleet) choose(r *simRun) {
	waited := f.now.Sub(r.arrived)
	r.request.ObjectiveLeft, r.request.ClientTimeLeft = r.kind.objective-waited, r.kind.deadline-waited
	r.asked = f.now
	switch d := r.host.Choose(f.now, r.request).(type) {
	case pick.Dispatch:
		r.dispatch, r.engine, r.sentAt = d, f.byID[d.Target.ID], f.now
		r.run = r.host.Start(f.now, r.request, d)
		e := r.engine
		if len(e.queue)+len(e.running) >= f.plan.Slots {
			r.host.Finish(f.now, r.run, pick.Rejected)
			f.waiting = append(f.waiting, r)
			return
		}
		f.dispatched(r)
		r.readyAt, r.unread = f.now.Add(d.CopyTime), max(r.request.Prompt.Tokens-d.Cached-d.Fetched, 1)
		e.queue = append(e.queue, r)
		if e.stepEnd.IsZero() {
			f.startStep(e, f.now)
		}
	case pick.Wait:
		longest := min(r.kind.objective, (r.kind.deadline)/2)
		if d.After > 0 {
			longest = min(longest, r.kind.objective/4)
		}
		if waited >= longest {
			f.lost(r)
			return
		}
		f.waiting = append(f.waiting, r)
	case pick.Refuse:
		f.lost(r)
	}
}

// exchange delivers the reports that were sent at the last exchange, and sends new ones.
func (f *fleet) exchange() {
	if f.sent != nil {
		f.deliver()
	}
	f.sent = make([]pick.Report, len(f.pickers))
	for i, s := range f.pickers {
		f.sent[i], f.parts[i] = s.Report(f.now, oplog.Recipient{}, f.parts[i])
		f.sent[i].Timing, f.timings[i] = s.ReportTiming(f.now, oplog.Recipient{}, f.timings[i])
	}
}

func (f *fleet) deliver() {
	total := map[string]pick.Load{}
	var parts []pick.Placement
	for _, r := range f.sent {
		for id, c := range r.Work {
			t := total[id]
			total[id] = pick.Load{Running: t.Running + c.Running, Prefill: t.Prefill + c.Prefill, Memory: t.Memory + c.Memory}
		}
		parts = append(parts, r.Parts...)
	}
	for i, s := range f.pickers {
		others := make(map[string]pick.Load, len(total))
		for id, c := range total {
			own := f.sent[i].Work[id]
			if rest := (pick.Load{Running: c.Running - own.Running, Prefill: c.Prefill - own.Prefill, Memory: c.Memory - own.Memory}); rest != (pick.Load{}) {
				others[id] = rest
			}
		}
		s.ApplyReport(f.now, peer, pick.Report{Work: others, Parts: parts, Timing: othersTiming(f.sent, i)})
		s.Expire(f.now)
	}
}

// run lets the time pass until end.
func (f *fleet) run(end time.Duration) {
	for step := int(f.now.Sub(start) / tick); f.now.Before(start.Add(end)); step++ {
		f.now = f.now.Add(tick)
		for _, e := range f.sims {
			for !e.stepEnd.IsZero() && !e.stepEnd.After(f.now) {
				at := e.stepEnd
				f.endStep(e, at)
				f.startStep(e, at)
			}
		}
		f.firstEvents(f.now)
		if f.now.Sub(start)%reportInterval == 0 {
			f.exchange()
		}
		if f.now.Sub(start)%(500*time.Millisecond) == 0 {
			f.countSlow()
		}
		f.poll()
		for _, k := range f.kinds {
			for range poisson(f.random, k.perSecond*f.rate(k.name)*tick.Seconds()) {
				f.arrive(k)
			}
		}
	}
}

// poll asks again for the requests that have waited long enough.
func (f *fleet) poll() {
	waiting := f.waiting
	f.waiting = nil
	for _, r := range waiting {
		if f.now.Sub(r.asked) >= pollEvery {
			f.choose(r)
		} else {
			f.waiting = append(f.waiting, r)
		}
	}
}

func (f *fleet) countSlow() {
	slow := f.pickers[0].SlowTargets(f.now)
	for _, id := range slow {
		if !slices.Contains(f.slow, id) {
			f.turnedSlow++
		}
	}
	f.slow = slow
}

// poisson returns the number of arrivals for a small mean.
func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for at := random.ExpFloat64(); at < mean; at += random.ExpFloat64() {
		count++
	}
	return count
}

// model returns what a host has learned.
func (f *fleet) model() timing.Model { return f.pickers[0].LearnedTimes().Models["lm"] }
