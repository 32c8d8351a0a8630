package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

func TestAnswerThatCannotBeInTimeIsRefusedAtOnce(t *testing.T) {
	h := newHarness(1)
	j := newJob("a", 1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
	j.Deadline = time.Millisecond
	refusals := commandsOf[cell.Refuse](h.update(cell.Arrived{Job: j}))
	require.Len(t, refusals, 1)
	assert.Equal(t, "overloaded", refusals[0].Code)
	assert.IsType(t, effect.NotRun{}, refusals[0].Outcome)
	assert.Positive(t, refusals[0].RetryAfter)
}

func TestRefusalHasTheCodeOfTheLastFailure(t *testing.T) {
	for name, code := range map[string]engine.Code{"stalled": engine.Stalled, "broken": engine.Broken, "unreachable": engine.Unreachable} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(8)
			j := newJob("a", 1)
			j.Deadline = time.Hour
			h.update(cell.Arrived{Job: j})
			for range 4 {
				s := h.lastStart(t, "a")
				h.update(cell.Ended{Job: "a", Attempt: s.Attempt, Outcome: effect.NotRun{}, Code: code})
			}
			refusals := commandsOf[cell.Refuse](h.commands)
			require.Len(t, refusals, 1)
			assert.Equal(t, string(code), refusals[0].Code)
		})
	}
}

func TestManyFailuresUseUpTheRetryBudget(t *testing.T) {
	h := newHarness(40)
	codes := map[string]int{}
	for i := range 200 {
		id := fmt.Sprint(i)
		h.update(cell.Arrived{Job: newJob(id, uint64(i))})
		for range 4 {
			starts := commandsOf[cell.Start](h.commands)
			h.commands = nil
			for _, s := range starts {
				h.update(cell.Ended{Job: s.Job, Attempt: s.Attempt, Outcome: effect.Unknown{}, Code: engine.Broken})
			}
			for _, refusal := range commandsOf[cell.Refuse](h.commands) {
				codes[refusal.Code]++
				assert.NotEqual(t, "notRun", effect.Name(refusal.Outcome), "an attempt may have run")
			}
		}
		h.advance(20 * time.Second)
	}
	assert.Positive(t, codes["retryBudget"], codes)
}
