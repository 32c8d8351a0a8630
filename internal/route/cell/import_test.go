package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// waitingForImport returns a harness in which request "b" waits for an import.
func waitingForImport(t *testing.T) (*harness, cell.Import) {
	t.Helper()
	b := newHarnessWith(2, cell.Targets{HasStore: true})
	b.update(cell.Arrived{Job: newJob("a", 1, 2, 3, 4, 5, 6, 7, 8)})
	s := b.lastStart(t, "a")
	b.finish(s)
	b.update(cell.Leaving{Target: s.Target})
	b.update(cell.Arrived{Job: newJob("b", 1, 2, 3, 4, 5, 6, 7, 8)})
	imports := commandsOf[cell.Import](b.commands)
	require.Len(t, imports, 1)
	require.Len(t, commandsOf[cell.Start](b.commands), 1, "the request should wait for its import")
	return b, imports[0]
}

func TestImportCountsOnlyWhenStillTrue(t *testing.T) {
	tests := map[string]struct {
		before   func(b *harness, i cell.Import)
		change   func(m *cell.Imported)
		expected int
	}{
		"arrived":      {nil, nil, 16000},
		"in part":      {nil, func(m *cell.Imported) { m.Blocks = 3 }, 6000},
		"failed":       {nil, func(m *cell.Imported) { m.Blocks = 0 }, 0},
		"other start":  {nil, func(m *cell.Imported) { m.Incarnation = "zero" }, 0},
		"old weights":  {nil, func(m *cell.Imported) { m.WeightVersion = "0" }, 0},
		"other engine": {nil, func(m *cell.Imported) { m.Target = "e9" }, 0},
		"engine restarted": {func(b *harness, i cell.Import) {
			b.update(cell.LoadReport{Target: i.Target, Load: engine.LoadReport{Incarnation: "second"}})
		}, nil, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b, i := waitingForImport(t)
			if test.before != nil {
				test.before(b, i)
			}
			m := cell.Imported{Job: i.Job, Target: i.Target, Incarnation: i.Incarnation, WeightVersion: i.WeightVersion, Blocks: len(i.Blocks), Took: 100 * time.Millisecond}
			if test.change != nil {
				test.change(&m)
			}
			b.update(m)
			b.advance(6 * time.Second)
			b.advance(100 * time.Millisecond)
			s := b.lastStart(t, "b")
			assert.Equal(t, test.expected, s.Expected)
			b.finish(s)
			assert.Empty(t, b.state.Running())
		})
	}
}

func TestRequestDoesNotWaitForeverForAnImport(t *testing.T) {
	b, _ := waitingForImport(t)
	b.advance(4 * time.Second)
	assert.Len(t, commandsOf[cell.Start](b.commands), 1)
	b.advance(2 * time.Second)
	b.advance(time.Second)
	assert.Zero(t, b.lastStart(t, "b").Expected)
}

func TestImportOfACancelledRequestIsForgotten(t *testing.T) {
	b, i := waitingForImport(t)
	b.update(cell.Arrived{Job: newJob("c", 1, 2, 3, 4, 5, 6, 7, 8)})
	b.update(cell.Cancelled{Job: "b"})
	b.advance(100 * time.Millisecond)
	assert.Len(t, commandsOf[cell.Import](b.commands), 2, "the next request should start its own import")
	assert.Empty(t, commandsOf[cell.Start](b.update(cell.Imported{Job: i.Job, Target: i.Target, Incarnation: i.Incarnation, Blocks: 8})))
	b.update(cell.Cancelled{Job: "c"})
	assert.Empty(t, b.state.Running())
}

func TestHotPrefixIsCopiedOnceAndForOneIncarnation(t *testing.T) {
	b := newHarness(6)
	run := func(id string, leaf uint64) {
		b.update(cell.Arrived{Job: newJob(id, 1, 2, 3, 4, leaf)})
		s := b.lastStart(t, id)
		b.update(cell.Started{Job: id, Attempt: s.Attempt, Accepted: engine.Accepted{Incarnation: "first"}})
		b.now = b.now.Add(100 * time.Millisecond)
		b.finish(s)
	}
	var copies []cell.Import
	for i := range uint64(200) {
		run(string(rune('a'+i%26))+string(rune('a'+i/26)), 100+i)
		for _, c := range commandsOf[cell.Import](b.commands) {
			if c.Job == "" {
				copies = append(copies, c)
			}
		}
		if len(copies) > 0 {
			break
		}
	}
	require.Len(t, copies, 1)
	assert.Equal(t, []uint64{1, 2, 3, 4}, copies[0].Blocks)
	known := func() int {
		for _, f := range b.state.EngineLoads() {
			if f.Target == copies[0].Target {
				return f.CachedBlocks
			}
		}
		return -1
	}
	before := known()
	b.update(cell.Imported{Target: copies[0].Target, Incarnation: "other", Blocks: 4})
	assert.Equal(t, before, known(), "an import into another incarnation should not count")
}
