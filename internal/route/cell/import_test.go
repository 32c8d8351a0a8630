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
	h := newHarnessWith(2, cell.Targets{HasStore: true})
	h.update(cell.Arrived{Job: newJob("a", 1, 2, 3, 4, 5, 6, 7, 8)})
	s := h.lastStart(t, "a")
	h.finish(s)
	h.update(cell.Leaving{Target: s.Target})
	h.update(cell.Arrived{Job: newJob("b", 1, 2, 3, 4, 5, 6, 7, 8)})
	imports := commandsOf[cell.Import](h.commands)
	require.Len(t, imports, 1)
	require.Len(t, commandsOf[cell.Start](h.commands), 1, "the request should wait for its import")
	return h, imports[0]
}

func TestImportCountsOnlyWhenStillTrue(t *testing.T) {
	tests := map[string]struct {
		before   func(h *harness, i cell.Import)
		change   func(m *cell.Imported)
		expected int
	}{
		"complete":          {nil, nil, 16000},
		"partial":           {nil, func(m *cell.Imported) { m.Blocks = 3 }, 6000},
		"failed":            {nil, func(m *cell.Imported) { m.Blocks = 0 }, 0},
		"other incarnation": {nil, func(m *cell.Imported) { m.Incarnation = "zero" }, 0},
		"old weights":       {nil, func(m *cell.Imported) { m.WeightVersion = "0" }, 0},
		"other engine":      {nil, func(m *cell.Imported) { m.Target = "e9" }, 0},
		"engine restarted": {func(h *harness, i cell.Import) {
			h.update(cell.LoadReport{Target: i.Target, Load: engine.LoadReport{Incarnation: "second"}})
		}, nil, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, i := waitingForImport(t)
			if test.before != nil {
				test.before(h, i)
			}
			m := cell.Imported{Job: i.Job, Target: i.Target, Incarnation: i.Incarnation, WeightVersion: i.WeightVersion, Blocks: len(i.Blocks), Took: 100 * time.Millisecond}
			if test.change != nil {
				test.change(&m)
			}
			h.update(m)
			h.advance(6 * time.Second)
			h.advance(100 * time.Millisecond)
			s := h.lastStart(t, "b")
			assert.Equal(t, test.expected, s.Expected)
			h.finish(s)
			assert.Empty(t, h.state.Running())
		})
	}
}

func TestRequestDoesNotWaitForeverForAnImport(t *testing.T) {
	h, _ := waitingForImport(t)
	h.advance(4 * time.Second)
	assert.Len(t, commandsOf[cell.Start](h.commands), 1)
	h.advance(2 * time.Second)
	h.advance(time.Second)
	assert.Zero(t, h.lastStart(t, "b").Expected)
}

func TestImportOfACancelledRequestIsIgnored(t *testing.T) {
	h, i := waitingForImport(t)
	h.update(cell.Arrived{Job: newJob("c", 1, 2, 3, 4, 5, 6, 7, 8)})
	h.update(cell.Cancelled{Job: "b"})
	h.advance(100 * time.Millisecond)
	assert.Len(t, commandsOf[cell.Import](h.commands), 2, "the next request should start its own import")
	assert.Empty(t, commandsOf[cell.Start](h.update(cell.Imported{Job: i.Job, Target: i.Target, Incarnation: i.Incarnation, Blocks: 8})))
	h.update(cell.Cancelled{Job: "c"})
	assert.Empty(t, h.state.Running())
}

func TestHotPrefixIsCopiedOnceAndForOneIncarnation(t *testing.T) {
	h := newHarness(6)
	run := func(id string, leaf uint64) {
		h.update(cell.Arrived{Job: newJob(id, 1, 2, 3, 4, leaf)})
		s := h.lastStart(t, id)
		h.update(cell.Started{Job: id, Attempt: s.Attempt, Accepted: engine.Accepted{Incarnation: "first"}})
		h.now = h.now.Add(100 * time.Millisecond)
		h.finish(s)
	}
	var copies []cell.Import
	for i := range uint64(200) {
		run(string(rune('a'+i%26))+string(rune('a'+i/26)), 100+i)
		for _, c := range commandsOf[cell.Import](h.commands) {
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
		for _, f := range h.state.EngineLoads() {
			if f.Target == copies[0].Target {
				return f.CachedBlocks
			}
		}
		return -1
	}
	before := known()
	h.update(cell.Imported{Target: copies[0].Target, Incarnation: "other", Blocks: 4})
	assert.Equal(t, before, known(), "an import into another incarnation should not count")
}
