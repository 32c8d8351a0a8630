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

// load tells which weights an engine has.
func (b *bed) load(target, weights string) {
	b.tell(cell.Reported{Target: target, Load: engine.Load{Incarnation: "first", WeightVersion: weights}})
}

func TestEnginesServeWhileNewWeightsAreLoaded(t *testing.T) {
	tests := map[string]struct {
		served []string // weights of each engine; empty while unknown
		offset int      // chunks that the caller has of version "2"
		want   string   // version that must answer
		code   string
	}{
		"none has the new weights yet":       {served: []string{"1", "1"}, want: "1"},
		"versions are not known yet":         {served: []string{"", ""}, want: ""},
		"a resumed answer keeps its weights": {served: []string{"1", "2"}, offset: 3, want: "2"},
		"no engine can resume it":            {served: []string{"1", "1"}, offset: 3, code: "noEngine"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBed(len(test.served))
			for i, weights := range test.served {
				b.load(newTargets(i + 1)[i].Name, weights)
			}
			j := work("a", 1, 2, 3)
			j.WeightVersion, j.Offset = "2", test.offset
			b.tell(cell.Arrived{Job: j})
			if test.code != "" {
				refusals := only[cell.Refuse](b.commands)
				require.Len(t, refusals, 1)
				assert.Equal(t, test.code, refusals[0].Code)
				return
			}
			assert.Equal(t, test.want, b.started(t, "a").WeightVersion)
		})
	}
}

func TestBlocksOfOtherWeightsAreNotExpected(t *testing.T) {
	b := newBed(1)
	b.load("e0", "1")
	for _, id := range []string{"a", "b"} {
		j := work(id, 1, 2, 3)
		j.WeightVersion = "2"
		b.tell(cell.Arrived{Job: j})
		start := b.started(t, id)
		assert.Zero(t, start.Expected, "the engine names its blocks by its own weights")
		b.finish(start)
	}
	j := work("c", 1, 2, 3)
	j.WeightVersion = "1"
	b.tell(cell.Arrived{Job: j})
	b.finish(b.started(t, "c"))
	j.ID = "d"
	b.tell(cell.Arrived{Job: j})
	assert.Equal(t, 6000, b.started(t, "d").Expected)
	b.finish(b.started(t, "d"))
	b.load("e0", "2")
	j.ID, j.WeightVersion = "e", "2"
	b.tell(cell.Arrived{Job: j})
	assert.Zero(t, b.started(t, "e").Expected, "what was computed with other weights is of no use")
}

func TestChangeBetweenChoiceAndUseIsTriedAgain(t *testing.T) {
	b := newBed(1)
	b.load("e0", "1")
	j := work("a", 1, 2, 3)
	j.WeightVersion = "2"
	b.tell(cell.Arrived{Job: j})
	start := b.started(t, "a")
	require.Equal(t, "1", start.WeightVersion)
	b.tell(cell.Ended{Job: "a", Attempt: start.Attempt, Outcome: effect.NotRun{}, Code: engine.Stale})
	again := b.started(t, "a")
	assert.Equal(t, 2, again.Attempt)
	assert.Empty(t, again.WeightVersion, "what the engine serves now is not known")
}

func TestAnswerThatHasBegunIsBoundToItsWeights(t *testing.T) {
	b := newBed(3)
	b.load("e0", "1")
	b.load("e1", "2")
	b.load("e2", "1")
	j := work("a", 1, 2, 3)
	j.WeightVersion = "2"
	b.tell(cell.Arrived{Job: j})
	start := b.started(t, "a")
	first := start.WeightVersion
	b.tell(cell.Started{Job: "a", Attempt: start.Attempt, Accepted: engine.Accepted{Incarnation: "first", WeightVersion: first}})
	b.tell(cell.Ended{Job: "a", Attempt: start.Attempt, Outcome: effect.Unknown{}, Code: engine.Broken, Sent: 2})
	b.wait(time.Second)
	again := b.started(t, "a")
	if first == "2" {
		assert.Equal(t, start, again, "no other engine has these weights")
		assert.Len(t, only[cell.Refuse](b.commands), 1)
		return
	}
	assert.NotEqual(t, start.Target, again.Target)
	assert.Equal(t, first, again.WeightVersion)
}
