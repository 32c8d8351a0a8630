package procs_test

import (
	"context"
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/tool/load"
)

var (
	seed = flag.Uint64("seed", 1, "repeats the plan and the load")
	long = flag.Bool("long", false, "run for about a minute with eight routers")
)

// size is how large a run is.
type size struct {
	routers, engines int
	length           time.Duration
	rate             float64
	burst            int
}

func chosen() size {
	if *long {
		return size{routers: 8, engines: 6, length: 50 * time.Second, rate: 60, burst: 300}
	}
	return size{routers: 3, engines: 3, length: 6 * time.Second, rate: 25, burst: 120}
}

// TestPromisesUnderKills kills and restarts what it can while callers ask.
func TestPromisesUnderKills(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := chosen()
	t.Logf("seed %d", *seed)
	s := open(ctx, t, n.routers, n.engines)
	run := load.New(s.options(n))
	reports := make(chan load.Report)
	go func(ctx context.Context) { reports <- run.Do(ctx, nil) }(ctx)
	kinds := s.play(ctx, plan(*seed, n.length, n.routers, n.engines), func(line string) { t.Log(line) })
	report := <-reports
	t.Logf("events %v", kinds)
	t.Logf("requests %v outcomes %v refusals %v", report.Requests, report.Outcomes, report.Refusals)
	t.Logf("ttft %+v, hit rate %.2f", report.TTFT, report.HitRate)
	s.judge(t, report)
}

// TestPlannedStopCutsNothing stops one router after another, as an upgrade
// does, and starts each again.
func TestPlannedStopCutsNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := chosen()
	s := open(ctx, t, n.routers, n.engines)
	options := s.options(n)
	options.ServicePart, options.BurstEvery = 0, 0
	run := load.New(options)
	reports := make(chan load.Report)
	go func(ctx context.Context) { reports <- run.Do(ctx, nil) }(ctx)
	var events []event
	for i := range n.routers {
		events = append(events, event{at: time.Duration(i+1) * n.length / time.Duration(n.routers+2), kind: "stopRouter", who: i})
	}
	s.play(ctx, events, func(line string) { t.Log(line) })
	report := <-reports
	t.Logf("requests %v outcomes %v refusals %v", report.Requests, report.Outcomes, report.Refusals)
	s.judge(t, report)
	assert.Zero(t, report.Outcomes["cuts"], "answers that a planned stop cut")
}

func (s *scene) options(n size) load.Options {
	options := load.Options{
		Keys: []string{keyA, keyB}, Application: "assistant", Service: serviceName, Action: actionPath,
		Seed: *seed, Rate: n.rate, Length: n.length, BurstEvery: 5 * time.Second, BurstSize: n.burst,
		ServicePart: 0.4, WholePart: 0.1, Sheets: 12, LevelWords: [3]int{300, 300, 200}, MaxTokens: maxTokens,
		Check: true, Timeout: 30 * time.Second,
	}
	for _, p := range s.routers {
		options.Addresses = append(options.Addresses, s.addresses[p.name])
	}
	return options
}

// judge compares what callers were told with what ran.
func (s *scene) judge(t *testing.T, report load.Report) {
	t.Helper()
	assert.Empty(t, report.Broken, "streams that were wrong, or incomplete without an error")
	assert.Greater(t, report.Outcomes["answered"], 0)
	falseNotRun := 0
	for _, id := range report.NotRun {
		for _, p := range s.engines {
			if p.ran(id) {
				falseNotRun++
			}
		}
	}
	assert.Zero(t, falseNotRun, "chats that were told not run, but an engine took them")
	effects := s.effects(t)
	twice, lost, falseActions := 0, 0, 0
	for _, a := range report.Actions {
		count := s.count(effects, a.Key)
		switch {
		case count > 1:
			twice++
		case a.Answered > 0 && count == 0:
			lost++
		case a.Answered == 0 && a.Unknown == 0 && count > 0:
			falseActions++
		}
	}
	assert.Zero(t, twice, "effects that ran twice")
	assert.Zero(t, lost, "answers without their effect")
	assert.Zero(t, falseActions, "actions that were told not run, but ran")
	t.Logf("actions %d, effects %d, twice %d, told not run: %d chats, false %d, actions false %d",
		len(report.Actions), len(effects), twice, len(report.NotRun), falseNotRun, falseActions)
	if t.Failed() {
		for _, p := range s.all() {
			t.Log(p.tail())
		}
	}
}
