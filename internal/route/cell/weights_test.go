package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// reportWeights sends a load report with the engine's weight version.
func (h *harness) reportWeights(target, weights string) {
	h.update(cell.LoadReport{Target: target, Load: engine.LoadReport{Incarnation: "first", WeightVersion: weights}})
}

func TestEnginesServeWhileNewWeightsAreLoaded(t *testing.T) {
	tests := map[string]struct {
		served []string // weights of each engine; empty while unknown
		offset int      // chunks of version "2" that the caller already has
		want   string   // weight version of the attempt
		code   string
	}{
		"none has the new weights yet":       {served: []string{"1", "1"}, want: "1"},
		"versions are not known yet":         {served: []string{"", ""}, want: ""},
		"a resumed answer keeps its weights": {served: []string{"1", "2"}, offset: 3, want: "2"},
		"no engine can resume it":            {served: []string{"1", "1"}, offset: 3, code: "noEngine"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(len(test.served))
			for i, weights := range test.served {
				h.reportWeights(newTargets(i + 1)[i].Name, weights)
			}
			j := newJob("a", 1, 2, 3)
			j.WeightVersion, j.Offset = "2", test.offset
			h.update(cell.Arrived{Job: j})
			if test.code != "" {
				refusals := commandsOf[cell.Refuse](h.commands)
				require.Len(t, refusals, 1)
				assert.Equal(t, test.code, refusals[0].Code)
				return
			}
			assert.Equal(t, test.want, h.lastStart(t, "a").WeightVersion)
		})
	}
}

func TestBlocksOfOtherWeightsAreNotExpected(t *testing.T) {
	h := newHarness(1)
	h.reportWeights("e0", "1")
	for _, id := range []string{"a", "b"} {
		j := newJob(id, 1, 2, 3)
		j.WeightVersion = "2"
		h.update(cell.Arrived{Job: j})
		start := h.lastStart(t, id)
		assert.Zero(t, start.Expected, "block hashes of other weights should not match")
		h.finish(start)
	}
	j := newJob("c", 1, 2, 3)
	j.WeightVersion = "1"
	h.update(cell.Arrived{Job: j})
	h.finish(h.lastStart(t, "c"))
	j.ID = "d"
	h.update(cell.Arrived{Job: j})
	assert.Equal(t, 6000, h.lastStart(t, "d").Expected)
	h.finish(h.lastStart(t, "d"))
	h.reportWeights("e0", "2")
	j.ID, j.WeightVersion = "e", "2"
	h.update(cell.Arrived{Job: j})
	assert.Zero(t, h.lastStart(t, "e").Expected, "blocks computed with the previous weights should be dropped")
}

func TestStaleWeightVersionIsRetried(t *testing.T) {
	h := newHarness(1)
	h.reportWeights("e0", "1")
	j := newJob("a", 1, 2, 3)
	j.WeightVersion = "2"
	h.update(cell.Arrived{Job: j})
	start := h.lastStart(t, "a")
	require.Equal(t, "1", start.WeightVersion)
	h.update(cell.Ended{Job: "a", Attempt: start.Attempt, Outcome: effect.NotRun{}, Code: engine.Stale})
	again := h.lastStart(t, "a")
	assert.Equal(t, 2, again.Attempt)
	assert.Empty(t, again.WeightVersion, "the engine's weight version should be unknown after it answered stale")
}

func TestAnswerThatHasBegunIsBoundToItsWeights(t *testing.T) {
	h := newHarness(3)
	h.reportWeights("e0", "1")
	h.reportWeights("e1", "2")
	h.reportWeights("e2", "1")
	j := newJob("a", 1, 2, 3)
	j.WeightVersion = "2"
	h.update(cell.Arrived{Job: j})
	start := h.lastStart(t, "a")
	first := start.WeightVersion
	h.update(cell.Started{Job: "a", Attempt: start.Attempt, Accepted: engine.Accepted{Incarnation: "first", WeightVersion: first}})
	h.update(cell.Ended{Job: "a", Attempt: start.Attempt, Outcome: effect.Unknown{}, Code: engine.Broken, Sent: 2})
	h.advance(time.Second)
	again := h.lastStart(t, "a")
	if first == "2" {
		assert.Equal(t, start, again, "no other engine has the weights that began the answer")
		assert.Len(t, commandsOf[cell.Refuse](h.commands), 1)
		return
	}
	assert.NotEqual(t, start.Target, again.Target)
	assert.Equal(t, first, again.WeightVersion)
}
