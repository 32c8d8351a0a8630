package flow

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

func TestStreamsAreWholeAndInOrder(t *testing.T) {
	second := pause(time.Second)
	tests := map[string]struct {
		scripts [][]step
		offset  int
		weights string
		code    string
		outcome effect.Outcome
		chunks  int
		offsets []int
		counts  map[string]int64
	}{
		"no fault": {offsets: []int{0}, chunks: 5},
		"engine dies in the middle": {
			scripts: [][]step{{accept("1"), token(0), token(1), die{}}}, offsets: []int{0, 2}, chunks: 5,
			counts: map[string]int64{"resumes": 1, "crash_deaths": 0},
		},
		"dies before the first chunk": {scripts: [][]step{{accept("1"), die{}}}, offsets: []int{0, 0}, chunks: 5},
		"dies before it accepts":      {scripts: [][]step{{broken()}}, offsets: []int{0, 0}, chunks: 5},
		"cut twice": {
			scripts: [][]step{{accept("1"), token(0), broken()}, {accept("1"), token(1), token(2), broken()}}, offsets: []int{0, 1, 3}, chunks: 5,
		},
		"dies, then cut": {
			scripts: [][]step{{accept("1"), token(0), die{}}, {accept("1"), token(1), token(2), broken()}}, offsets: []int{0, 1, 3}, chunks: 5,
		},
		"two engines die under it": {
			scripts: [][]step{{accept("1"), token(0), die{}}, {accept("1"), token(1), token(2), die{}}}, offsets: []int{0, 1}, chunks: 3,
			code: "crashRequest", outcome: effect.Unknown{},
		},
		"other incarnation on the same address": {scripts: [][]step{{notRun(engine.Stale)}}, offsets: []int{0, 0}, chunks: 5},
		"stalls, wakes up late": {
			scripts: [][]step{{accept("1"), token(0), sleep(time.Minute), token(1), token(2), token(3), token(4), done{}}}, offsets: []int{0, 1}, chunks: 5,
			counts: map[string]int64{"stalls": 1, "late_events": 1},
		},
		"stalls before the first chunk": {
			scripts: [][]step{{accept("1"), pause(time.Hour)}}, offsets: []int{0, 0}, chunks: 5, counts: map[string]int64{"stalls": 1, "cancels": 1},
		},
		"accepts the call, then sends nothing within the limit": {
			scripts: [][]step{{accept("1"), pause(19 * time.Second), token(0), token(1), token(2), token(3), token(4), done{}}}, offsets: []int{0}, chunks: 5, counts: map[string]int64{"stalls": 0},
		},
		"does not accept the call in time": {
			scripts: [][]step{{pause(10 * time.Second), accept("1")}}, offsets: []int{0, 0}, chunks: 5, counts: map[string]int64{"stalls": 1},
		},
		"slow but alive": {
			scripts: [][]step{{accept("1"), pause(15 * time.Second), token(0), second, token(1), second, token(2), second, token(3), second, token(4), done{}}},
			offsets: []int{0}, chunks: 5, counts: map[string]int64{"stalls": 0},
		},
		"a chunk is missing": {scripts: [][]step{{accept("1"), token(0), token(2)}}, offsets: []int{0, 1}, chunks: 5},
		"a chunk is repeated": {
			scripts: [][]step{{accept("1"), token(0), token(0), token(1), token(2), token(1), token(3), token(4), done{}}}, offsets: []int{0}, chunks: 5,
			counts: map[string]int64{"repeated_events": 2},
		},
		"resuming engine repeats all chunks": {
			scripts: [][]step{{accept("1"), token(0), token(1), broken()}, {accept("1"), token(0), token(1), token(2), token(3), token(4), done{}}}, offsets: []int{0, 2}, chunks: 5,
		},
		"weights change before the first chunk": {
			scripts: [][]step{{accept("1"), die{}}, {accept("2"), token(0), token(1), token(2), token(3), token(4), done{}}},
			offsets: []int{0, 0}, chunks: 5, weights: "2",
		},
		"weights change in the middle": {
			scripts: [][]step{{accept("1"), token(0), die{}}, {accept("2"), token(1)}}, offsets: []int{0, 1, 1}, chunks: 5,
		},
		"weights change everywhere": {
			scripts: [][]step{{accept("1"), token(0), die{}}, {accept("2"), token(1)}, {accept("2"), token(1)}, {accept("2"), token(1)}},
			offsets: []int{0, 1, 1, 1}, chunks: 1, code: "stale", outcome: effect.Unknown{},
		},
		"every engine is busy": {
			scripts: [][]step{{notRun(engine.Busy)}, {notRun(engine.Busy)}, {notRun(engine.Busy)}, {notRun(engine.Busy)}},
			offsets: []int{0, 0, 0, 0}, code: "busy", outcome: effect.NotRun{},
		},
		"one may have run it, the others not": {
			scripts: [][]step{{broken()}, {notRun(engine.Busy)}, {notRun(engine.Busy)}, {notRun(engine.Busy)}},
			offsets: []int{0, 0, 0, 0}, code: "busy", outcome: effect.Unknown{},
		},
		"engines stall until it is too late": {
			scripts: [][]step{{accept("1"), pause(time.Hour)}, {accept("1"), pause(time.Hour)}, {accept("1"), pause(time.Hour)}, {accept("1"), pause(time.Hour)}},
			offsets: []int{0, 0}, code: "overloaded", outcome: effect.Unknown{},
		},
		"caller reconnects":                  {offset: 3, offsets: []int{3}, chunks: 2},
		"caller reconnects, no engine":       {offset: 3, scripts: [][]step{{notRun(engine.Stale)}, {notRun(engine.Stale)}, {notRun(engine.Stale)}, {notRun(engine.Stale)}}, offsets: []int{3, 3, 3, 3}, code: "stale", outcome: effect.NotRun{}},
		"caller reconnects, other weights":   {offset: 3, scripts: [][]step{{accept("2"), token(3)}}, offsets: []int{3, 3}, chunks: 2},
		"caller reconnects after last chunk": {offset: 5, offsets: []int{5}, chunks: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := start(t, test.scripts...)
				j := request("1")
				j.Offset = test.offset
				var caller receivedAnswer
				err := n.runner.Run(context.Background(), j, caller.sink)
				weights := "1"
				if test.weights != "" {
					weights = test.weights
				}
				assert.Equal(t, fullAnswer(weights)[test.offset:test.offset+test.chunks], append([]string{}, caller.chunks...))
				assert.Equal(t, test.code == "", caller.done)
				assert.Equal(t, test.offsets, offsets(n.fleet.calls))
				for name, want := range test.counts {
					assert.Equal(t, want, counterValue(n.scope, name), name)
				}
				if test.code == "" {
					require.NoError(t, err)
					return
				}
				var failure *fault.Error
				require.ErrorAs(t, err, &failure)
				assert.Equal(t, test.code, failure.Code)
				assert.IsType(t, test.outcome, failure.Outcome)
			})
		})
	}
}

func offsets(calls []engine.Call) []int {
	var all []int
	for _, call := range calls {
		all = append(all, call.Offset)
	}
	return all
}

func TestCallerGoneCancelsAtTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := start(t, []step{accept("1"), token(0), pause(time.Hour)})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		var caller receivedAnswer
		err := n.runner.Run(ctx, request("1"), caller.sink)
		assert.Equal(t, "callerGone", fault.From(err).Code)
		assert.Equal(t, []string{"1.1"}, n.fleet.cancels)
		assert.Len(t, n.fleet.calls, 1)
	})
}

func TestSlowCallerIsNotTheEnginesFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := start(t)
		var caller receivedAnswer
		err := n.runner.Run(context.Background(), request("1"), func(event engine.Event) error {
			time.Sleep(time.Minute)
			return caller.sink(event)
		})
		require.NoError(t, err)
		assert.Equal(t, fullAnswer("1"), caller.chunks)
		assert.Zero(t, counterValue(n.scope, "stalls"))
	})
}

func TestFailedCallerEndsTheRequestAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := start(t, []step{accept("1"), token(0), token(1), pause(time.Hour)})
		cut := errors.New("cut")
		err := n.runner.Run(context.Background(), request("1"), func(event engine.Event) error {
			if e, ok := event.(engine.Token); ok && e.Offset == 1 {
				return cut
			}
			return nil
		})
		assert.ErrorIs(t, err, cut)
		assert.Len(t, n.fleet.calls, 1, "the request was retried although the caller is gone")
	})
}

func TestCallAfterImportNamesTheIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := start(t)
		var caller receivedAnswer
		s := newRequestState(n.runner, request("1"), caller.sink)
		defer s.close()
		s.start(context.Background(), startOn("a", 1, &engine.ImportRequest{Source: "store"}))
		s.handleReport(context.Background(), <-s.reports)
		assert.Len(t, n.fleet.imports, 1)
		assert.Equal(t, "chosen", n.fleet.calls[0].Incarnation)
		assert.Equal(t, "1", n.fleet.calls[0].WeightVersion)
		assert.True(t, caller.done, "a failed import only costs the recomputation")
	})
}

// TestEngineThatChangedDuringAnImportIsNotUsed uses an engine that restarts
// during an import and so refuses the call, which names the old incarnation.
func TestEngineThatChangedDuringAnImportIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := start(t, []step{notRun(engine.Stale)})
		var caller receivedAnswer
		s := newRequestState(n.runner, request("1"), caller.sink)
		defer s.close()
		s.start(context.Background(), startOn("a", 1, &engine.ImportRequest{Source: "store"}))
		s.handleReport(context.Background(), <-s.reports)
		assert.False(t, s.finished, "the request must be tried elsewhere")
		assert.Empty(t, caller.chunks)
		assert.False(t, s.mayHaveRun)
	})
}
