package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/gate/trail"
)

// herd is a fleet of hosts that decide alone, with word of each other's work that
// is some tenths of a second old, before engines that read one prompt after the
// other.
type herd struct {
	hosts   []*pick.State
	told    []uint64
	random  *rand.Rand
	engines map[string]*reader
	runs    []*herdRun
	now     time.Time
	late    int
	total   int
	refused int
}

// reader is an engine as one queue of prompt tokens.
type reader struct{ free time.Time }

type herdRun struct {
	host       *pick.State
	run        *pick.Run
	first, end time.Time
	begun      bool
}

const (
	herdHosts, herdEngines, herdSlots = 70, 140, 12
	// readRate is how many prompt tokens an engine reads in a millisecond.
	readRate = 74.8
	// wordAge is the time between two words of the other hosts' work; each is as
	// old again when the next one comes.
	wordAge = 150 * time.Millisecond
	// afterRead is the time from a prompt read to its first token, afterFirst that
	// to the last.
	afterRead, afterFirst = 70 * time.Millisecond, 60 * time.Millisecond
)

func newHerd(fresh int) *herd {
	p := plan.New(plan.Plan{Version: 1, Services: map[string]plan.Service{
		"lm": {Name: "lm", Engines: &plan.Engines{Slots: herdSlots, CacheTokens: 100_000, TokenBytes: 35_136, LinkMbps: 740_000}},
	}}, nil, nil)
	h := &herd{random: rand.New(rand.NewPCG(1, 1)), engines: map[string]*reader{}, now: start}
	targets := map[string]roster.Target{}
	for i := range herdEngines {
		version := uint64(1)
		if i < fresh {
			version = 2
		}
		id := fmt.Sprint("e", i)
		targets[id] = roster.Target{ID: id, Born: 1, Service: "lm", Address: fmt.Sprint("10.0.0.", i, ":80"), DataCentre: fmt.Sprint("dc", i%4), Slots: herdSlots, Versions: map[string]uint64{model: version}}
		h.engines[id] = &reader{free: start}
	}
	for i := range herdHosts {
		s := pick.New(pick.Options{DataCentre: fmt.Sprint("dc", i%4), Seed: uint64(i)})
		s.SetPlan(p)
		s.SetTargets(targets)
		s.Want(start, model, pick.Named{Version: 1, Age: time.Hour})
		if fresh > 0 {
			s.Want(start, model, pick.Named{Version: 2, Age: 3 * time.Second})
		}
		h.hosts = append(h.hosts, s)
		h.told = append(h.told, 0)
	}
	return h
}

// tell lets every host hear the others' work.
func (h *herd) tell() {
	all := map[string]pick.Count{}
	var parts []pick.Placed
	own := make([]pick.Report, len(h.hosts))
	for i, s := range h.hosts {
		own[i], h.told[i] = s.Report(h.now, trail.Audience{}, h.told[i])
		parts = append(parts, own[i].Parts...)
		for id, c := range own[i].Work {
			sum := all[id]
			all[id] = pick.Count{Running: sum.Running + c.Running, Prefill: sum.Prefill + c.Prefill, Memory: sum.Memory + c.Memory}
		}
	}
	for i, s := range h.hosts {
		others := map[string]pick.Count{}
		for id, c := range all {
			mine := own[i].Work[id]
			others[id] = pick.Count{Running: c.Running - mine.Running, Prefill: c.Prefill - mine.Prefill, Memory: c.Memory - mine.Memory}
		}
		s.Hear(h.now, peer, pick.Report{Work: others, Parts: parts})
	}
}

// step ends what is due and sends one request.
func (h *herd) step(gap time.Duration) {
	h.now = h.now.Add(gap)
	left := h.runs[:0]
	for _, r := range h.runs {
		if !r.begun && !r.first.After(h.now) {
			r.begun = true
			r.host.First(r.first, r.run)
		}
		if !r.end.After(h.now) {
			r.host.Finish(r.end, r.run, pick.Whole)
			continue
		}
		left = append(left, r)
	}
	h.runs = left
	s := h.hosts[h.random.IntN(len(h.hosts))]
	request := long(fmt.Sprint("sheet-", h.random.IntN(300)))
	request.Prompt.Parts[2].ID = fmt.Sprint("own-", h.total)
	h.total++
	g, ok := s.Choose(h.now, request).(pick.Go)
	if !ok {
		h.refused++
		return
	}
	run := &herdRun{host: s, run: s.Start(h.now, request, g)}
	e := h.engines[g.Target.ID]
	if e.free.Before(h.now) {
		e.free = h.now
	}
	e.free = e.free.Add(time.Duration(float64(request.Prompt.Tokens-g.Cached-g.Fetched) / readRate * float64(time.Millisecond)))
	run.first = e.free.Add(afterRead)
	run.end = run.first.Add(afterFirst)
	if run.first.Sub(h.now) > request.Aim {
		h.late++
	}
	h.runs = append(h.runs, run)
}

// Pattern: power of d choices under stale information. Hosts that all see the
// same engine as the best one until the next word must not all choose it.
func TestManyHostsDoNotHerd(t *testing.T) {
	const perSecond = 570
	tests := map[string]struct {
		// fresh is how many engines have the newest weights.
		fresh int
		// late is how many answers in 100 may be late.
		late float64
	}{
		"no new weights":           {0, 2},
		"a fifth have new weights": {28, 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHerd(test.fresh)
			var told time.Time
			for h.now.Before(start.Add(4 * time.Second)) {
				if h.now.Sub(told) > wordAge {
					h.tell()
					told = h.now
				}
				h.step(time.Second / perSecond)
			}
			late := 100 * float64(h.late) / float64(h.total)
			t.Logf("%d requests, %.1f in 100 late, %d refused", h.total, late, h.refused)
			assert.LessOrEqual(t, late, test.late)
			assert.LessOrEqual(t, h.refused, h.total/100)
		})
	}
}
