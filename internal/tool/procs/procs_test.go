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
	seed = flag.Uint64("seed", 1, "seed of the plan and the load")
	long = flag.Bool("long", false, "run for about a minute with eight routers")
)

// runSize is the size of the cluster and its load.
type runSize struct {
	routers, engines int
	length           time.Duration
	rate             float64
	burst            int
}

func selectedSize() runSize {
	if *long {
		return runSize{routers: 8, engines: 6, length: 50 * time.Second, rate: 60, burst: 300}
	}
	return runSize{routers: 3, engines: 3, length: 6 * time.Second, rate: 25, burst: 120}
}

// TestPromisesUnderKills compares the responses to callers with what ran, while
// routers and engines are killed and stopped and the stand-ins inject faults.
func TestPromisesUnderKills(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	size := selectedSize()
	t.Logf("seed %d", *seed)
	c := startCluster(ctx, t, size.routers, size.engines)
	run := load.New(c.loadOptions(size))
	reports := make(chan load.Report)
	go func(ctx context.Context) { reports <- run.Run(ctx, nil) }(ctx)
	kinds := c.play(ctx, newPlan(*seed, size.length, size.routers, size.engines), func(line string) { t.Log(line) })
	report := <-reports
	t.Logf("events %v", kinds)
	t.Logf("requests %v outcomes %v refusals %v", report.Requests, report.Outcomes, report.Refusals)
	t.Logf("ttft %+v, hit rate %.2f", report.TTFT, report.HitRate)
	c.check(t, report)
}

// TestPlannedStopCutsNothing guards against answers cut off during an upgrade: it
// stops one router after another with SIGTERM and starts each again.
func TestPlannedStopCutsNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	size := selectedSize()
	c := startCluster(ctx, t, size.routers, size.engines)
	options := c.loadOptions(size)
	options.ServiceFraction, options.BurstEvery = 0, 0
	run := load.New(options)
	reports := make(chan load.Report)
	go func(ctx context.Context) { reports <- run.Run(ctx, nil) }(ctx)
	var events []event
	for i := range size.routers {
		events = append(events, event{at: time.Duration(i+1) * size.length / time.Duration(size.routers+2), kind: "stopRouter", index: i})
	}
	c.play(ctx, events, func(line string) { t.Log(line) })
	report := <-reports
	t.Logf("requests %v outcomes %v refusals %v", report.Requests, report.Outcomes, report.Refusals)
	c.check(t, report)
	assert.Zero(t, report.Outcomes["cuts"], "answers cut off by a planned stop")
}

func (c *cluster) loadOptions(size runSize) load.Options {
	options := load.Options{
		Keys: []string{keyA, keyB}, Application: "assistant", Service: serviceName, ActionPath: actionPath,
		Seed: *seed, Rate: size.rate, Duration: size.length, BurstEvery: 5 * time.Second, BurstSize: size.burst,
		ServiceFraction: 0.4, UnstreamedFraction: 0.1, Documents: 12, LevelWords: [3]int{300, 300, 200}, MaxTokens: maxTokens,
		CheckAnswers: true, Timeout: 30 * time.Second,
	}
	for _, p := range c.routers {
		options.Addresses = append(options.Addresses, c.addresses[p.name])
	}
	return options
}

// check compares the responses to callers with the requests that engines and
// services ran.
func (c *cluster) check(t *testing.T, report load.Report) {
	t.Helper()
	assert.Empty(t, report.Violations, "streams with wrong content, or incomplete without an error")
	assert.Greater(t, report.Outcomes["answered"], 0)
	falseNotRun := 0
	for _, id := range report.NotRunIDs {
		for _, p := range c.engines {
			if p.ranRequest(id) {
				falseNotRun++
			}
		}
	}
	assert.Zero(t, falseNotRun, "chats reported as not run that an engine ran")
	effects := c.readEffects(t)
	repeated, missing, falseNotRunActions := 0, 0, 0
	for _, a := range report.Actions {
		count := c.countEffects(effects, a.Key)
		switch {
		case count > 1:
			repeated++
		case a.Answered > 0 && count == 0:
			missing++
		case a.Answered == 0 && a.Unknown == 0 && count > 0:
			falseNotRunActions++
		}
	}
	assert.Zero(t, repeated, "effects that ran twice")
	assert.Zero(t, missing, "answered actions without an effect")
	assert.Zero(t, falseNotRunActions, "actions reported as not run that took effect")
	t.Logf("actions %d, effects %d, repeated %d; chats reported as not run %d, of these run %d; actions reported as not run but run %d",
		len(report.Actions), len(effects), repeated, len(report.NotRunIDs), falseNotRun, falseNotRunActions)
	if t.Failed() {
		for _, p := range c.processes() {
			t.Log(p.tail())
		}
	}
}
