package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// harness sends messages to a state in virtual time and records the commands.
type harness struct {
	state    cell.State
	now      time.Time
	commands []cell.Command
}

func newHarness(engines int) *harness { return newHarnessWith(engines, cell.Targets{}) }

func newHarnessWith(engines int, m cell.Targets) *harness {
	h := &harness{state: cell.New(cell.WithSeed(1)), now: time.Unix(1000, 0)}
	m.All = append(m.All, newTargets(engines)...)
	h.update(m)
	for i := range engines {
		h.update(cell.LoadReport{Target: fmt.Sprintf("e%d", i), Load: engine.LoadReport{Incarnation: "first"}})
	}
	h.commands = nil
	return h
}

func newTargets(engines int) []cell.Target {
	targets := make([]cell.Target, engines)
	for i := range targets {
		targets[i] = cell.Target{Name: fmt.Sprintf("e%d", i), Applications: []string{"chat"}, Capacity: 1, CacheBlocks: 64}
	}
	return targets
}

// update applies a message and returns the resulting commands.
func (h *harness) update(message cell.Message) []cell.Command {
	var commands []cell.Command
	h.state, commands = h.state.Update(h.now, message)
	h.commands = append(h.commands, commands...)
	return commands
}

func (h *harness) advance(d time.Duration) []cell.Command {
	h.now = h.now.Add(d)
	return h.update(cell.Tick{})
}

func newJob(id string, blocks ...uint64) job.Job {
	return job.Job{
		ID: id, Workspace: "w", Application: "chat", Blocks: blocks, BlockTokens: 2000,
		PromptTokens: 2000*len(blocks) + 100, Fingerprint: uint64(len(id)),
	}
}

func commandsOf[T cell.Command](commands []cell.Command) []T {
	var found []T
	for _, c := range commands {
		if t, ok := c.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

func (h *harness) lastStart(t *testing.T, id string) cell.Start {
	t.Helper()
	for i := len(h.commands) - 1; i >= 0; i-- {
		if s, ok := h.commands[i].(cell.Start); ok && s.Job == id {
			return s
		}
	}
	require.Fail(t, "not started", id)
	return cell.Start{}
}

func (h *harness) finish(s cell.Start) {
	h.update(cell.FirstToken{Job: s.Job, Attempt: s.Attempt})
	h.update(cell.Ended{Job: s.Job, Attempt: s.Attempt, Outcome: effect.Answered{}})
}

// drain answers all attempts, including later ones, for ten seconds.
func (h *harness) drain() {
	for range 100 {
		open := map[string]cell.Start{}
		for _, s := range commandsOf[cell.Start](h.commands) {
			open[s.Job] = s
		}
		for _, id := range h.state.Running() {
			if s, ok := open[id]; ok {
				h.finish(s)
			}
		}
		h.advance(100 * time.Millisecond)
	}
}

func failure(s cell.Start, code engine.Code, outcome effect.Outcome) cell.Ended {
	return cell.Ended{Job: s.Job, Attempt: s.Attempt, Code: code, Outcome: outcome}
}

func TestSecondRequestGoesWhereThePrefixIs(t *testing.T) {
	h := newHarness(5)
	h.update(cell.Arrived{Job: newJob("a", 1, 2, 3)})
	first := h.lastStart(t, "a")
	h.finish(first)
	h.update(cell.Arrived{Job: newJob("b", 1, 2, 3)})
	second := h.lastStart(t, "b")
	assert.Equal(t, first.Target, second.Target)
	assert.Equal(t, 6000, second.Expected)
	h.update(cell.Arrived{Job: newJob("c", 71, 72, 73)})
	assert.Zero(t, h.lastStart(t, "c").Expected, "the blocks of another prompt are not cached")
}

func TestOwnerNeedsNoMemory(t *testing.T) {
	targets := newTargets(9)
	reversed := slices.Clone(targets)
	slices.Reverse(reversed)
	used := map[string]bool{}
	for i := range uint64(50) {
		j := newJob("a", i, i+100, i+200, i+300)
		one := newHarnessWith(0, cell.Targets{All: targets})
		other := newHarnessWith(0, cell.Targets{All: reversed})
		one.update(cell.Arrived{Job: j})
		other.update(cell.Arrived{Job: j})
		assert.Equal(t, one.lastStart(t, "a").Target, other.lastStart(t, "a").Target)
		used[one.lastStart(t, "a").Target] = true
	}
	assert.Len(t, used, 9, "the owners of prefixes should cover all engines")
}

func TestColdMissesOfOnePrefixWaitForTheFirst(t *testing.T) {
	ends := map[string]func(h *harness, first cell.Start){
		"answered":  func(h *harness, s cell.Start) { h.finish(s) },
		"cancelled": func(h *harness, s cell.Start) { h.update(cell.Cancelled{Job: s.Job}) },
		"broken":    func(h *harness, s cell.Start) { h.update(failure(s, engine.Broken, effect.Unknown{})) },
		"busy":      func(h *harness, s cell.Start) { h.update(failure(s, engine.Busy, effect.NotRun{})) },
		"leaving":   func(h *harness, s cell.Start) { h.update(failure(s, engine.Leaving, effect.NotRun{})) },
		"stale":     func(h *harness, s cell.Start) { h.update(failure(s, engine.Stale, effect.NotRun{})) },
		"marked":    func(h *harness, s cell.Start) { h.update(cell.Leaving{Target: s.Target}) },
		"restarted": func(h *harness, s cell.Start) {
			h.update(cell.LoadReport{Target: s.Target, Load: engine.LoadReport{Incarnation: "second"}})
			h.update(failure(s, engine.Broken, effect.Unknown{}))
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			h := newHarness(2)
			h.update(cell.Arrived{Job: newJob("first", 1, 2)})
			first := h.lastStart(t, "first")
			h.update(cell.Arrived{Job: newJob("second", 1, 2)})
			assert.Len(t, commandsOf[cell.Start](h.commands), 1, "the second request should wait for the first")
			end(h, first)
			for range 40 {
				h.advance(100 * time.Millisecond)
			}
			h.lastStart(t, "second")
			h.drain()
			assert.Empty(t, h.state.Running())
		})
	}
}

func TestLeavingEnginesGetNoNewWork(t *testing.T) {
	marks := map[string]func(h *harness, s cell.Start){
		"by the host list":   func(h *harness, s cell.Start) { h.update(cell.Leaving{Target: s.Target}) },
		"by the engine":      func(h *harness, s cell.Start) { h.update(failure(s, engine.Leaving, effect.NotRun{})) },
		"by its load report": func(h *harness, s cell.Start) { h.update(leavingReport(s.Target, "first")) },
		"mark outlives lists": func(h *harness, s cell.Start) {
			h.update(cell.Leaving{Target: s.Target})
			h.update(cell.Targets{All: []cell.Target{
				{Name: "e0", Applications: []string{"chat"}, Capacity: 1}, {Name: "e1", Applications: []string{"chat"}, Capacity: 1},
			}})
		},
	}
	for name, mark := range marks {
		t.Run(name, func(t *testing.T) {
			h := newHarness(2)
			h.update(cell.Arrived{Job: newJob("a", 1, 2)})
			first := h.lastStart(t, "a")
			h.update(cell.Arrived{Job: newJob("queued", 1, 2)})
			mark(h, first)
			h.update(cell.LoadReport{Target: first.Target, Load: engine.LoadReport{Incarnation: "first"}})
			h.advance(time.Second)
			for i := range uint64(10) {
				h.update(cell.Arrived{Job: newJob(fmt.Sprintf("new-%d", i), 50+2*i, 51+2*i)})
				h.advance(50 * time.Millisecond)
			}
			for _, s := range commandsOf[cell.Start](h.commands)[1:] {
				assert.NotEqual(t, first.Target, s.Target)
			}
		})
	}
}

func leavingReport(target, incarnation string) cell.LoadReport {
	return cell.LoadReport{Target: target, Load: engine.LoadReport{Incarnation: incarnation, Leaving: true}}
}

func TestOnlyANewStartClearsTheLeavingMark(t *testing.T) {
	h := newHarness(1)
	h.update(leavingReport("e0", "first"))
	h.update(cell.LoadReport{Target: "e0", Load: engine.LoadReport{Incarnation: "first"}})
	assert.NotEmpty(t, commandsOf[cell.Refuse](h.update(cell.Arrived{Job: newJob("a", 1)})))
	h.update(cell.LoadReport{Target: "e0", Load: engine.LoadReport{Incarnation: "second"}})
	assert.NotEmpty(t, commandsOf[cell.Start](h.update(cell.Arrived{Job: newJob("b", 1)})))
}

func TestNewStartDropsKnowledge(t *testing.T) {
	h := newHarness(1)
	h.update(cell.Arrived{Job: newJob("a", 1, 2)})
	h.finish(h.lastStart(t, "a"))
	h.update(cell.LoadReport{Target: "e0", Load: engine.LoadReport{Incarnation: "second"}})
	h.update(cell.Arrived{Job: newJob("b", 1, 2)})
	assert.Zero(t, h.lastStart(t, "b").Expected)
	assert.Equal(t, "second", h.lastStart(t, "b").Incarnation)
	h.update(cell.Snapshot{Target: "e0", Snapshot: engine.Snapshot{Incarnation: "first", Blocks: []uint64{8, 9}}})
	h.finish(h.lastStart(t, "b"))
	h.update(cell.Arrived{Job: newJob("c", 8, 9)})
	assert.Zero(t, h.lastStart(t, "c").Expected, "a snapshot of a past incarnation should be ignored")
}

func TestAnswerHeadersCorrectTheCacheEstimate(t *testing.T) {
	h := newHarness(1)
	h.update(cell.Arrived{Job: newJob("a", 1, 2, 3)})
	h.finish(h.lastStart(t, "a"))
	h.update(cell.Arrived{Job: newJob("b", 1, 2, 3)})
	assert.Equal(t, 100, h.state.EngineLoads()[0].Prefill)
	h.update(cell.Started{Job: "b", Attempt: 1, Accepted: engine.Accepted{Incarnation: "first", CachedTokens: 2000, PromptTokens: 6100}})
	assert.Equal(t, 4100, h.state.EngineLoads()[0].Prefill)
	h.update(cell.Arrived{Job: newJob("c", 1, 2, 3)})
	assert.Len(t, commandsOf[cell.Start](h.commands), 2, "the third request should wait for the blocks that the second computes")
	h.update(cell.Cancelled{Job: "b"})
	assert.Equal(t, 2000, h.lastStart(t, "c").Expected)
}

func TestRefusalsAreHonest(t *testing.T) {
	tests := map[string]struct {
		code engine.Code
		out  effect.Outcome
		want effect.Outcome
	}{
		"did not run":  {engine.Busy, effect.NotRun{}, effect.NotRun{}},
		"may have run": {engine.Broken, effect.Unknown{}, effect.Unknown{Reason: "an attempt was cut off"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(2)
			h.update(cell.Arrived{Job: newJob("a", 1)})
			h.update(failure(h.lastStart(t, "a"), test.code, test.out))
			h.update(failure(h.lastStart(t, "a"), engine.Busy, effect.NotRun{}))
			refusals := commandsOf[cell.Refuse](h.commands)
			require.Len(t, refusals, 1)
			assert.Equal(t, test.want, refusals[0].Outcome)
			assert.NotZero(t, refusals[0].RetryAfter)
		})
	}
}

func TestLateRequestsAreRefusedBeforePrefill(t *testing.T) {
	h := newHarness(1)
	for i := range 4 {
		h.update(cell.Arrived{Job: newJob(fmt.Sprintf("long-%d", i), uint64(10*i+1), uint64(10*i+2), uint64(10*i+3))})
	}
	hurried := newJob("hurried", 90, 91)
	hurried.Deadline = 100 * time.Millisecond
	refusals := commandsOf[cell.Refuse](h.update(cell.Arrived{Job: hurried}))
	require.Len(t, refusals, 1)
	assert.Equal(t, effect.NotRun{}, refusals[0].Outcome)
	assert.NotZero(t, refusals[0].RetryAfter)
	patient := newJob("patient", 80, 81)
	patient.Deadline = 2 * time.Second
	assert.Empty(t, commandsOf[cell.Refuse](h.update(cell.Arrived{Job: patient})))
	h.now = h.now.Add(3 * time.Second)
	assert.Equal(t, "deadline", commandsOf[cell.Refuse](h.update(cell.Tick{}))[0].Code)
}

func TestCancelFreesTheEstimateAtOnce(t *testing.T) {
	h := newHarness(1)
	h.update(cell.Arrived{Job: newJob("a", 1, 2, 3)})
	h.update(cell.Arrived{Job: newJob("b", 4, 5, 6)})
	assert.NotZero(t, h.state.EngineLoads()[0].Prefill)
	assert.Equal(t, []cell.Cancel{{Job: "a", Attempt: 1}}, commandsOf[cell.Cancel](h.update(cell.Cancelled{Job: "a"})))
	assert.Equal(t, "e0", h.lastStart(t, "b").Target, "the queued request should start at once")
	h.update(cell.Cancelled{Job: "b"})
	assert.Equal(t, []cell.EngineLoad{{Target: "e0"}}, h.state.EngineLoads())
}

func TestRetriesStayInTheBudget(t *testing.T) {
	h := newHarness(8)
	const requests = 200
	for i := range requests {
		h.now = h.now.Add(time.Minute)
		id := fmt.Sprint(i)
		h.update(cell.Arrived{Job: newJob(id, uint64(i))})
		for {
			before := len(h.commands)
			h.update(failure(h.lastStart(t, id), engine.Broken, effect.Unknown{}))
			if len(commandsOf[cell.Start](h.commands[before:])) == 0 {
				break
			}
		}
	}
	retries := len(commandsOf[cell.Start](h.commands)) - requests
	assert.LessOrEqual(t, float64(retries), 20+0.2*requests)
	assert.Empty(t, h.state.Running())
}

func TestAttemptsAreBounded(t *testing.T) {
	h := newHarness(1)
	h.update(cell.Arrived{Job: newJob("a", 1)})
	for range 4 {
		h.update(failure(h.lastStart(t, "a"), engine.Stale, effect.NotRun{}))
	}
	assert.Len(t, commandsOf[cell.Start](h.commands), 4)
	assert.Len(t, commandsOf[cell.Refuse](h.commands), 1)
	assert.Empty(t, h.state.Running())
}

func TestPriorityFollowsTheClass(t *testing.T) {
	h := newHarness(1)
	slow := newJob("slow", 1)
	slow.Class = "batch"
	h.update(cell.Arrived{Job: slow})
	h.update(cell.Arrived{Job: newJob("quick", 2)})
	assert.Greater(t, h.lastStart(t, "slow").Priority, h.lastStart(t, "quick").Priority)
}

func ExampleState_Update() {
	state := cell.New(cell.WithSeed(7))
	now := time.Unix(0, 0)
	state, _ = state.Update(now, cell.Targets{All: []cell.Target{{Name: "engine-1", Applications: []string{"assistant"}}}})
	_, commands := state.Update(now, cell.Arrived{Job: job.Job{ID: "r1", Application: "assistant", PromptTokens: 40}})
	fmt.Println(commands[0].(cell.Start).Target)
	// Output: engine-1
}
