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
	b := &harness{state: cell.New(cell.WithSeed(1)), now: time.Unix(1000, 0)}
	m.All = append(m.All, newTargets(engines)...)
	b.update(m)
	for i := range engines {
		b.update(cell.LoadReport{Target: fmt.Sprintf("e%d", i), Load: engine.LoadReport{Incarnation: "first"}})
	}
	b.commands = nil
	return b
}

func newTargets(engines int) []cell.Target {
	targets := make([]cell.Target, engines)
	for i := range targets {
		targets[i] = cell.Target{Name: fmt.Sprintf("e%d", i), Applications: []string{"chat"}, Capacity: 1, CacheBlocks: 64}
	}
	return targets
}

// update applies a message and returns the resulting commands.
func (b *harness) update(message cell.Message) []cell.Command {
	var commands []cell.Command
	b.state, commands = b.state.Update(b.now, message)
	b.commands = append(b.commands, commands...)
	return commands
}

func (b *harness) advance(d time.Duration) []cell.Command {
	b.now = b.now.Add(d)
	return b.update(cell.Tick{})
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

func (b *harness) lastStart(t *testing.T, id string) cell.Start {
	t.Helper()
	for i := len(b.commands) - 1; i >= 0; i-- {
		if s, ok := b.commands[i].(cell.Start); ok && s.Job == id {
			return s
		}
	}
	require.Fail(t, "not started", id)
	return cell.Start{}
}

func (b *harness) finish(s cell.Start) {
	b.update(cell.FirstToken{Job: s.Job, Attempt: s.Attempt})
	b.update(cell.Ended{Job: s.Job, Attempt: s.Attempt, Outcome: effect.Answered{}})
}

// drain answers all attempts, including later ones, for ten seconds.
func (b *harness) drain() {
	for range 100 {
		open := map[string]cell.Start{}
		for _, s := range commandsOf[cell.Start](b.commands) {
			open[s.Job] = s
		}
		for _, id := range b.state.Running() {
			if s, ok := open[id]; ok {
				b.finish(s)
			}
		}
		b.advance(100 * time.Millisecond)
	}
}

func failure(s cell.Start, code engine.Code, outcome effect.Outcome) cell.Ended {
	return cell.Ended{Job: s.Job, Attempt: s.Attempt, Code: code, Outcome: outcome}
}

func TestSecondRequestGoesWhereThePrefixIs(t *testing.T) {
	b := newHarness(5)
	b.update(cell.Arrived{Job: newJob("a", 1, 2, 3)})
	first := b.lastStart(t, "a")
	b.finish(first)
	b.update(cell.Arrived{Job: newJob("b", 1, 2, 3)})
	second := b.lastStart(t, "b")
	assert.Equal(t, first.Target, second.Target)
	assert.Equal(t, 6000, second.Expected)
	b.update(cell.Arrived{Job: newJob("c", 71, 72, 73)})
	assert.Zero(t, b.lastStart(t, "c").Expected, "the blocks of another prompt are not cached")
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
	ends := map[string]func(b *harness, first cell.Start){
		"answered":  func(b *harness, s cell.Start) { b.finish(s) },
		"cancelled": func(b *harness, s cell.Start) { b.update(cell.Cancelled{Job: s.Job}) },
		"broken":    func(b *harness, s cell.Start) { b.update(failure(s, engine.Broken, effect.Unknown{})) },
		"busy":      func(b *harness, s cell.Start) { b.update(failure(s, engine.Busy, effect.NotRun{})) },
		"leaving":   func(b *harness, s cell.Start) { b.update(failure(s, engine.Leaving, effect.NotRun{})) },
		"stale":     func(b *harness, s cell.Start) { b.update(failure(s, engine.Stale, effect.NotRun{})) },
		"marked":    func(b *harness, s cell.Start) { b.update(cell.Leaving{Target: s.Target}) },
		"restarted": func(b *harness, s cell.Start) {
			b.update(cell.LoadReport{Target: s.Target, Load: engine.LoadReport{Incarnation: "second"}})
			b.update(failure(s, engine.Broken, effect.Unknown{}))
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			b := newHarness(2)
			b.update(cell.Arrived{Job: newJob("first", 1, 2)})
			first := b.lastStart(t, "first")
			b.update(cell.Arrived{Job: newJob("second", 1, 2)})
			assert.Len(t, commandsOf[cell.Start](b.commands), 1, "the second request should wait for the first")
			end(b, first)
			for range 40 {
				b.advance(100 * time.Millisecond)
			}
			b.lastStart(t, "second")
			b.drain()
			assert.Empty(t, b.state.Running())
		})
	}
}

func TestLeavingEnginesGetNoNewWork(t *testing.T) {
	marks := map[string]func(b *harness, s cell.Start){
		"by the host list":   func(b *harness, s cell.Start) { b.update(cell.Leaving{Target: s.Target}) },
		"by the engine":      func(b *harness, s cell.Start) { b.update(failure(s, engine.Leaving, effect.NotRun{})) },
		"by its load report": func(b *harness, s cell.Start) { b.update(leavingReport(s.Target, "first")) },
		"mark outlives lists": func(b *harness, s cell.Start) {
			b.update(cell.Leaving{Target: s.Target})
			b.update(cell.Targets{All: []cell.Target{
				{Name: "e0", Applications: []string{"chat"}, Capacity: 1}, {Name: "e1", Applications: []string{"chat"}, Capacity: 1},
			}})
		},
	}
	for name, mark := range marks {
		t.Run(name, func(t *testing.T) {
			b := newHarness(2)
			b.update(cell.Arrived{Job: newJob("a", 1, 2)})
			first := b.lastStart(t, "a")
			b.update(cell.Arrived{Job: newJob("queued", 1, 2)})
			mark(b, first)
			b.update(cell.LoadReport{Target: first.Target, Load: engine.LoadReport{Incarnation: "first"}})
			b.advance(time.Second)
			for i := range uint64(10) {
				b.update(cell.Arrived{Job: newJob(fmt.Sprintf("new-%d", i), 50+2*i, 51+2*i)})
				b.advance(50 * time.Millisecond)
			}
			for _, s := range commandsOf[cell.Start](b.commands)[1:] {
				assert.NotEqual(t, first.Target, s.Target)
			}
		})
	}
}

func leavingReport(target, incarnation string) cell.LoadReport {
	return cell.LoadReport{Target: target, Load: engine.LoadReport{Incarnation: incarnation, Leaving: true}}
}

func TestOnlyANewStartClearsTheLeavingMark(t *testing.T) {
	b := newHarness(1)
	b.update(leavingReport("e0", "first"))
	b.update(cell.LoadReport{Target: "e0", Load: engine.LoadReport{Incarnation: "first"}})
	assert.NotEmpty(t, commandsOf[cell.Refuse](b.update(cell.Arrived{Job: newJob("a", 1)})))
	b.update(cell.LoadReport{Target: "e0", Load: engine.LoadReport{Incarnation: "second"}})
	assert.NotEmpty(t, commandsOf[cell.Start](b.update(cell.Arrived{Job: newJob("b", 1)})))
}

func TestNewStartDropsKnowledge(t *testing.T) {
	b := newHarness(1)
	b.update(cell.Arrived{Job: newJob("a", 1, 2)})
	b.finish(b.lastStart(t, "a"))
	b.update(cell.LoadReport{Target: "e0", Load: engine.LoadReport{Incarnation: "second"}})
	b.update(cell.Arrived{Job: newJob("b", 1, 2)})
	assert.Zero(t, b.lastStart(t, "b").Expected)
	assert.Equal(t, "second", b.lastStart(t, "b").Incarnation)
	b.update(cell.Snapshot{Target: "e0", Snapshot: engine.Snapshot{Incarnation: "first", Blocks: []uint64{8, 9}}})
	b.finish(b.lastStart(t, "b"))
	b.update(cell.Arrived{Job: newJob("c", 8, 9)})
	assert.Zero(t, b.lastStart(t, "c").Expected, "a snapshot of a past incarnation should be ignored")
}

func TestAnswerHeadersCorrectTheCacheEstimate(t *testing.T) {
	b := newHarness(1)
	b.update(cell.Arrived{Job: newJob("a", 1, 2, 3)})
	b.finish(b.lastStart(t, "a"))
	b.update(cell.Arrived{Job: newJob("b", 1, 2, 3)})
	assert.Equal(t, 100, b.state.EngineLoads()[0].Prefill)
	b.update(cell.Started{Job: "b", Attempt: 1, Accepted: engine.Accepted{Incarnation: "first", CachedTokens: 2000, PromptTokens: 6100}})
	assert.Equal(t, 4100, b.state.EngineLoads()[0].Prefill)
	b.update(cell.Arrived{Job: newJob("c", 1, 2, 3)})
	assert.Len(t, commandsOf[cell.Start](b.commands), 2, "the third request should wait for the blocks that the second computes")
	b.update(cell.Cancelled{Job: "b"})
	assert.Equal(t, 2000, b.lastStart(t, "c").Expected)
}

func TestRefusalsAreHonest(t *testing.T) {
	tests := map[string]struct {
		code engine.Code
		out  effect.Outcome
		want effect.Outcome
	}{
		"never ran": {engine.Busy, effect.NotRun{}, effect.NotRun{}},
		"may have":  {engine.Broken, effect.Unknown{}, effect.Unknown{Reason: "an attempt was cut off"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newHarness(2)
			b.update(cell.Arrived{Job: newJob("a", 1)})
			b.update(failure(b.lastStart(t, "a"), test.code, test.out))
			b.update(failure(b.lastStart(t, "a"), engine.Busy, effect.NotRun{}))
			refusals := commandsOf[cell.Refuse](b.commands)
			require.Len(t, refusals, 1)
			assert.Equal(t, test.want, refusals[0].Outcome)
			assert.NotZero(t, refusals[0].RetryAfter)
		})
	}
}

func TestLateRequestsAreRefusedBeforePrefill(t *testing.T) {
	b := newHarness(1)
	for i := range 4 {
		b.update(cell.Arrived{Job: newJob(fmt.Sprintf("long-%d", i), uint64(10*i+1), uint64(10*i+2), uint64(10*i+3))})
	}
	hurried := newJob("hurried", 90, 91)
	hurried.Deadline = 100 * time.Millisecond
	refusals := commandsOf[cell.Refuse](b.update(cell.Arrived{Job: hurried}))
	require.Len(t, refusals, 1)
	assert.Equal(t, effect.NotRun{}, refusals[0].Outcome)
	assert.NotZero(t, refusals[0].RetryAfter)
	patient := newJob("patient", 80, 81)
	patient.Deadline = 2 * time.Second
	assert.Empty(t, commandsOf[cell.Refuse](b.update(cell.Arrived{Job: patient})))
	b.now = b.now.Add(3 * time.Second)
	assert.Equal(t, "deadline", commandsOf[cell.Refuse](b.update(cell.Tick{}))[0].Code)
}

func TestCancelFreesTheEstimateAtOnce(t *testing.T) {
	b := newHarness(1)
	b.update(cell.Arrived{Job: newJob("a", 1, 2, 3)})
	b.update(cell.Arrived{Job: newJob("b", 4, 5, 6)})
	assert.NotZero(t, b.state.EngineLoads()[0].Prefill)
	assert.Equal(t, []cell.Cancel{{Job: "a", Attempt: 1}}, commandsOf[cell.Cancel](b.update(cell.Cancelled{Job: "a"})))
	assert.Equal(t, "e0", b.lastStart(t, "b").Target, "the queued request should start at once")
	b.update(cell.Cancelled{Job: "b"})
	assert.Equal(t, []cell.EngineLoad{{Target: "e0"}}, b.state.EngineLoads())
}

func TestRetriesStayInTheBudget(t *testing.T) {
	b := newHarness(8)
	const requests = 200
	for i := range requests {
		b.now = b.now.Add(time.Minute)
		id := fmt.Sprint(i)
		b.update(cell.Arrived{Job: newJob(id, uint64(i))})
		for {
			before := len(b.commands)
			b.update(failure(b.lastStart(t, id), engine.Broken, effect.Unknown{}))
			if len(commandsOf[cell.Start](b.commands[before:])) == 0 {
				break
			}
		}
	}
	retries := len(commandsOf[cell.Start](b.commands)) - requests
	assert.LessOrEqual(t, float64(retries), 20+0.2*requests)
	assert.Empty(t, b.state.Running())
}

func TestAttemptsAreBounded(t *testing.T) {
	b := newHarness(1)
	b.update(cell.Arrived{Job: newJob("a", 1)})
	for range 4 {
		b.update(failure(b.lastStart(t, "a"), engine.Stale, effect.NotRun{}))
	}
	assert.Len(t, commandsOf[cell.Start](b.commands), 4)
	assert.Len(t, commandsOf[cell.Refuse](b.commands), 1)
	assert.Empty(t, b.state.Running())
}

func TestPriorityFollowsTheClass(t *testing.T) {
	b := newHarness(1)
	slow := newJob("slow", 1)
	slow.Class = "batch"
	b.update(cell.Arrived{Job: slow})
	b.update(cell.Arrived{Job: newJob("quick", 2)})
	assert.Greater(t, b.lastStart(t, "slow").Priority, b.lastStart(t, "quick").Priority)
}

func ExampleState_Update() {
	state := cell.New(cell.WithSeed(7))
	now := time.Unix(0, 0)
	state, _ = state.Update(now, cell.Targets{All: []cell.Target{{Name: "engine-1", Applications: []string{"assistant"}}}})
	_, commands := state.Update(now, cell.Arrived{Job: job.Job{ID: "r1", Application: "assistant", PromptTokens: 40}})
	fmt.Println(commands[0].(cell.Start).Target)
	// Output: engine-1
}
