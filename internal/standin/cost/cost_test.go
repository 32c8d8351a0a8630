package cost_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/standin/cost"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

func options() cost.Options {
	return cost.Options{
		Name: "e", BlockTokens: 2000, CacheBlocks: 4, PrefillPerToken: 50 * time.Microsecond,
		StepBase: 10 * time.Millisecond, StepPerCall: time.Millisecond, ChunkTokens: 2000, MaxRunning: 2, MaxWaiting: 1,
	}
}

// drive runs the engine until it is idle. It returns all replies and the virtual
// time of each since the start.
func drive(e *cost.Engine, messages ...cost.Message) (replies []cost.Reply, times []time.Duration) {
	start := time.Unix(0, 0)
	now := start
	var pending []cost.ScheduleStep
	record := func(got []cost.Reply) {
		for _, r := range got {
			replies, times = append(replies, r), append(times, now.Sub(start))
			if next, ok := r.(cost.ScheduleStep); ok {
				pending = append(pending, next)
			}
		}
	}
	for _, m := range messages {
		record(e.Update(now, m))
	}
	for len(pending) > 0 {
		next := pending[0]
		pending = pending[1:]
		now = next.At
		record(e.Update(now, cost.FinishStep{Number: next.Number}))
	}
	return replies, times
}

func firstTokens(replies []cost.Reply, times []time.Duration) map[string]string {
	found := map[string]string{}
	for i, r := range replies {
		if f, ok := r.(cost.FirstToken); ok {
			found[f.ID] = fmt.Sprintf("%v cached %d computed %d", times[i], f.Cached, f.Computed)
		}
	}
	return found
}

func TestPrefillTimeAndCacheHit(t *testing.T) {
	e := cost.New(options())
	a := cost.Submit{ID: "a", Blocks: []uint64{1, 2}, PromptTokens: 4400, Output: 2}
	b := cost.Submit{ID: "b", Blocks: []uint64{1, 2}, PromptTokens: 4400, Output: 2}
	got := firstTokens(drive(e, a, b))
	// Two steps with a full chunk take 110 ms each; the remainders of both prompts
	// share a third step.
	assert.Equal(t, "270ms cached 0 computed 4400", got["a"])
	assert.Equal(t, "270ms cached 4000 computed 400", got["b"])
}

func TestEvictOldestPromptFromItsEnd(t *testing.T) {
	e := cost.New(options())
	drive(e, cost.Submit{ID: "a", Blocks: []uint64{1, 2, 3}, PromptTokens: 6000, Output: 1})
	drive(e, cost.Submit{ID: "b", Blocks: []uint64{8, 9}, PromptTokens: 4000, Output: 1})
	assert.True(t, e.Has(1))
	assert.True(t, e.Has(2))
	assert.False(t, e.Has(3))
}

func TestSubmitRefusals(t *testing.T) {
	tests := map[string]struct {
		before []cost.Message
		submit cost.Submit
		want   engine.Code
	}{
		"down":            {[]cost.Message{cost.Crash{}}, cost.Submit{ID: "x"}, engine.Unreachable},
		"leaving":         {[]cost.Message{cost.Drain{}}, cost.Submit{ID: "x"}, engine.Leaving},
		"other start":     {[]cost.Message{cost.Crash{}, cost.Restart{}}, cost.Submit{ID: "x", Incarnation: "e-1"}, engine.Stale},
		"returned":        {[]cost.Message{cost.Crash{}, cost.Restart{}}, cost.Submit{ID: "x", Incarnation: "e-2", PromptTokens: 10}, ""},
		"busy":            {[]cost.Message{long("1"), long("2"), long("3")}, cost.Submit{ID: "x"}, engine.Busy},
		"room once freed": {[]cost.Message{long("1"), long("2"), long("3"), cost.Cancel{ID: "1"}}, cost.Submit{ID: "x", PromptTokens: 10}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := cost.New(options())
			for _, m := range test.before {
				e.Update(time.Unix(0, 0), m)
			}
			var code engine.Code
			for _, r := range e.Update(time.Unix(0, 0), test.submit) {
				if refused, ok := r.(cost.Refused); ok {
					code = refused.Code
				}
			}
			assert.Equal(t, test.want, code)
		})
	}
}

func long(id string) cost.Submit { return cost.Submit{ID: id, PromptTokens: 1000, Output: 9} }

func TestCrashLosesCallsAndCache(t *testing.T) {
	e := cost.New(options())
	drive(e, cost.Submit{ID: "a", Blocks: []uint64{1}, PromptTokens: 2000, Output: 1})
	e.Update(time.Unix(9, 0), long("b"))
	require.Contains(t, e.Update(time.Unix(9, 0), cost.Crash{}), cost.Aborted{ID: "b"})
	e.Update(time.Unix(9, 0), cost.Restart{})
	assert.False(t, e.Has(1))
	e.Update(time.Unix(9, 0), cost.Import{Incarnation: "e-1", Blocks: []uint64{5}})
	assert.False(t, e.Has(5), "an import for an earlier incarnation must be ignored")
}

func TestPriorityOrder(t *testing.T) {
	e := cost.New(options())
	low, high := long("low"), long("high")
	low.Priority, low.PromptTokens = 5, 9000
	got := firstTokens(drive(e, cost.Submit{ID: "first", PromptTokens: 2000, Output: 1}, low, high))
	assert.Less(t, got["high"], got["low"])
}

func ExampleEngine_Update() {
	e := cost.New(options())
	replies, _ := drive(e, cost.Submit{ID: "a", PromptTokens: 400, Output: 1})
	fmt.Printf("%+v\n", replies[len(replies)-1])
	// Output: {ID:a Cached:0 Output:1}
}
