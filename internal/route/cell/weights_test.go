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
func (b *harness) reportWeights(target, weights string) {
	b.update(cell.LoadReport{Target: target, Load: engine.LoadReport{Incarnation: "first", WeightVersion: weights}})
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
			b := newHarness(len(test.served))
			for i, weights := range test.served {
				b.reportWeights(newTargets(i + 1)[i].Name, weights)
			}
			j := newJob("a", 1, 2, 3)
			j.WeightVersion, j.Offset = "2", test.offset
			b.update(cell.Arrived{Job: j})
			if test.code != "" {
				refusals := commandsOf[cell.Refuse](b.commands)
				require.Len(t, refusals, 1)
				assert.Equal(t, test.code, refusals[0].Code)
				return
			}
			assert.Equal(t, test.want, b.lastStart(t, "a").WeightVersion)
		})
	}
}

func TestBlocksOfOtherWeightsAreNotExpected(t *testing.T) {
	b := newHarness(1)
	b.reportWeights("e0", "1")
	for _, id := range []string{"a", "b"} {
		j := newJob(id, 1, 2, 3)
		j.WeightVersion = "2"
		b.update(cell.Arrived{Job: j})
		start := b.lastStart(t, id)
		assert.Zero(t, start.Expected, "block hashes of other weights should not match")
		b.finish(start)
	}
	j := newJob("c", 1, 2, 3)
	j.WeightVersion = "1"
	b.update(cell.Arrived{Job: j})
	b.finish(b.lastStart(t, "c"))
	j.ID = "d"
	b.update(cell.Arrived{Job: j})
	assert.Equal(t, 6000, b.lastStart(t, "d").Expected)
	b.finish(b.lastStart(t, "d"))
	b.reportWeights("e0", "2")
	j.ID, j.WeightVersion = "e", "2"
	b.update(cell.Arrived{Job: j})
	assert.Zero(t, b.lastStart(t, "e").Expected, "blocks computed with the previous weights should be dropped")
}

func TestStaleWeightVersionIsRetried(t *testing.T) {
	b := newHarness(1)
	b.reportWeights("e0", "1")
	j := newJob("a", 1, 2, 3)
	j.WeightVersion = "2"
	b.update(cell.Arrived{Job: j})
	start := b.lastStart(t, "a")
	require.Equal(t, "1", start.WeightVersion)
	b.update(cell.Ended{Job: "a", Attempt: start.Attempt, Outcome: effect.NotRun{}, Code: engine.Stale})
	again := b.lastStart(t, "a")
	assert.Equal(t, 2, again.Attempt)
	assert.Empty(t, again.WeightVersion, "the engine's weight version should be unknown after it answered stale")
}

func TestAnswerThatHasBegunIsBoundToItsWeights(t *testing.T) {
	b := newHarness(3)
	b.reportWeights("e0", "1")
	b.reportWeights("e1", "2")
	b.reportWeights("e2", "1")
	j := newJob("a", 1, 2, 3)
	j.WeightVersion = "2"
	b.update(cell.Arrived{Job: j})
	start := b.lastStart(t, "a")
	first := start.WeightVersion
	b.update(cell.Started{Job: "a", Attempt: start.Attempt, Accepted: engine.Accepted{Incarnation: "first", WeightVersion: first}})
	b.update(cell.Ended{Job: "a", Attempt: start.Attempt, Outcome: effect.Unknown{}, Code: engine.Broken, Sent: 2})
	b.advance(time.Second)
	again := b.lastStart(t, "a")
	if first == "2" {
		assert.Equal(t, start, again, "no other engine has the weights that began the answer")
		assert.Len(t, commandsOf[cell.Refuse](b.commands), 1)
		return
	}
	assert.NotEqual(t, start.Target, again.Target)
	assert.Equal(t, first, again.WeightVersion)
}
