package calls_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
	"github.com/cicadamill/cicadamill/internal/watch/calls"
	"github.com/cicadamill/cicadamill/internal/watch/label"
)

// scriptedRunner sends a token after each pause, then returns err.
type scriptedRunner struct {
	cached int
	pauses []time.Duration
	err    error
}

func (s scriptedRunner) Run(_ context.Context, _ job.Job, sink func(engine.Event) error) error {
	_ = sink(engine.Accepted{PromptTokens: 5000, CachedTokens: s.cached})
	for i, pause := range s.pauses {
		time.Sleep(pause)
		_ = sink(engine.Token{Offset: i})
	}
	return s.err
}

func measure(t *testing.T, runs ...scriptedRunner) tally.Snapshot {
	t.Helper()
	scope := tally.NewTestScope("", nil)
	labels := label.New(1)
	labels.SetRanking([]string{"members"})
	next := &runnerStub{}
	runner := calls.New(next, scope, labels)
	for _, run := range runs {
		next.scriptedRunner = run
		j := job.Job{Workspace: "members", Class: "interactive", Blocks: []uint64{1, 2}, BlockTokens: 2000}
		_ = runner.Run(t.Context(), j, func(engine.Event) error { return nil })
	}
	return scope.Snapshot()
}

type runnerStub struct{ scriptedRunner }

const tags = "+class=interactive,workspace=members"

func TestTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		snapshot := measure(t, scriptedRunner{pauses: []time.Duration{400 * time.Millisecond, 25 * time.Millisecond, 25 * time.Millisecond}})
		histograms := snapshot.Histograms()
		assert.EqualValues(t, 1, histograms["ttft_seconds"+tags].Durations()[500*time.Millisecond])
		assert.EqualValues(t, 2, histograms["inter_token_seconds"+tags].Durations()[30*time.Millisecond])
		assert.EqualValues(t, 1, histograms["total_seconds"+tags].Durations()[500*time.Millisecond])
	})
}

func TestRecomputedTokens(t *testing.T) {
	tests := map[string]struct {
		cached int
		want   int64
	}{
		"all found":  {cached: 4000, want: 0},
		"half found": {cached: 2000, want: 2000},
		"evicted":    {cached: 0, want: 4000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			counters := measure(t, scriptedRunner{}, scriptedRunner{cached: test.cached}).Counters()
			assert.Equal(t, test.want, counters["recomputed_tokens"+tags].Value())
			assert.EqualValues(t, 10000, counters["prompt_tokens"+tags].Value())
		})
	}
}

func TestOutcomes(t *testing.T) {
	notRun := &fault.Error{Code: "noEngine", Outcome: effect.NotRun{}}
	broken := &fault.Error{Code: "engineLost", Outcome: effect.Unknown{}}
	counters := measure(t, scriptedRunner{}, scriptedRunner{err: notRun}, scriptedRunner{err: errors.New("x")},
		scriptedRunner{pauses: []time.Duration{0}, err: broken}).Counters()
	outcome := func(name string) int64 {
		return counters["requests+class=interactive,outcome="+name+",workspace=members"].Value()
	}
	assert.EqualValues(t, 1, outcome("answered"))
	assert.EqualValues(t, 1, outcome("notRun"))
	assert.EqualValues(t, 2, outcome("unknown"))
	assert.EqualValues(t, 1, counters["streams_broken+code=engineLost"].Value())
}

func TestUnrankedWorkspacesShareALabel(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	runner := calls.New(scriptedRunner{}, scope, label.New(1))
	for _, name := range []string{"a", "b", "c"} {
		_ = runner.Run(t.Context(), job.Job{Workspace: name, Class: "odd"}, func(engine.Event) error { return nil })
	}
	assert.EqualValues(t, 3, scope.Snapshot().Counters()["requests+class=interactive,outcome=answered,workspace=other"].Value())
}
