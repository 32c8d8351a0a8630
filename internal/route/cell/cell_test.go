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

// bed drives a state and keeps what it commanded.
type bed struct {
	state    cell.State
	now      time.Time
	commands []cell.Command
}

func newBed(engines int) *bed { return newBedWith(engines, cell.Targets{}) }

func newBedWith(engines int, m cell.Targets) *bed {
	b := &bed{state: cell.New(cell.WithSeed(1)), now: time.Unix(1000, 0)}
	m.All = append(m.All, newTargets(engines)...)
	b.tell(m)
	for i := range engines {
		b.tell(cell.Reported{Target: fmt.Sprintf("e%d", i), Load: engine.Load{Incarnation: "first"}})
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

// tell hands a message in and returns the commands that it brought.
func (b *bed) tell(message cell.Message) []cell.Command {
	var commands []cell.Command
	b.state, commands = b.state.Update(b.now, message)
	b.commands = append(b.commands, commands...)
	return commands
}

func (b *bed) wait(d time.Duration) []cell.Command {
	b.now = b.now.Add(d)
	return b.tell(cell.Tick{})
}

func work(id string, blocks ...uint64) job.Job {
	return job.Job{
		ID: id, Workspace: "w", Application: "chat", Blocks: blocks, BlockTokens: 2000,
		PromptTokens: 2000*len(blocks) + 100, Fingerprint: uint64(len(id)),
	}
}

func only[T cell.Command](commands []cell.Command) []T {
	var found []T
	for _, c := range commands {
		if t, ok := c.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

func (b *bed) started(t *testing.T, id string) cell.Start {
	t.Helper()
	for i := len(b.commands) - 1; i >= 0; i-- {
		if s, ok := b.commands[i].(cell.Start); ok && s.Job == id {
			return s
		}
	}
	require.Fail(t, "not started", id)
	return cell.Start{}
}

func (b *bed) finish(s cell.Start) {
	b.tell(cell.First{Job: s.Job, Attempt: s.Attempt})
	b.tell(cell.Ended{Job: s.Job, Attempt: s.Attempt, Outcome: effect.Answered{}})
}

// drain answers everything that runs until nothing is left, or no more comes.
func (b *bed) drain() {
	for range 100 {
		open := map[string]cell.Start{}
		for _, s := range only[cell.Start](b.commands) {
			open[s.Job] = s
		}
		for _, id := range b.state.Running() {
			if s, ok := open[id]; ok {
				b.finish(s)
			}
		}
		b.wait(100 * time.Millisecond)
	}
}

func failed(s cell.Start, code engine.Code, outcome effect.Outcome) cell.Ended {
	return cell.Ended{Job: s.Job, Attempt: s.Attempt, Code: code, Outcome: outcome}
}

func TestSecondRequestGoesWhereThePrefixIs(t *testing.T) {
	b := newBed(5)
	b.tell(cell.Arrived{Job: work("a", 1, 2, 3)})
	first := b.started(t, "a")
	b.finish(first)
	b.tell(cell.Arrived{Job: work("b", 1, 2, 3)})
	second := b.started(t, "b")
	assert.Equal(t, first.Target, second.Target)
	assert.Equal(t, 6000, second.Expected)
	b.tell(cell.Arrived{Job: work("c", 71, 72, 73)})
	assert.Zero(t, b.started(t, "c").Expected, "a prompt of another workspace has other hashes")
}

func TestOwnerNeedsNoMemory(t *testing.T) {
	targets := newTargets(9)
	reversed := slices.Clone(targets)
	slices.Reverse(reversed)
	used := map[string]bool{}
	for i := range uint64(50) {
		j := work("a", i, i+100, i+200, i+300)
		one := newBedWith(0, cell.Targets{All: targets})
		other := newBedWith(0, cell.Targets{All: reversed})
		one.tell(cell.Arrived{Job: j})
		other.tell(cell.Arrived{Job: j})
		assert.Equal(t, one.started(t, "a").Target, other.started(t, "a").Target)
		used[one.started(t, "a").Target] = true
	}
	assert.Len(t, used, 9, "prefixes are spread over all engines")
}

func TestColdMissesOfOnePrefixWaitForTheFirst(t *testing.T) {
	ends := map[string]func(b *bed, first cell.Start){
		"answered":  func(b *bed, s cell.Start) { b.finish(s) },
		"cancelled": func(b *bed, s cell.Start) { b.tell(cell.Cancelled{Job: s.Job}) },
		"broken":    func(b *bed, s cell.Start) { b.tell(failed(s, engine.Broken, effect.Unknown{})) },
		"busy":      func(b *bed, s cell.Start) { b.tell(failed(s, engine.Busy, effect.NotRun{})) },
		"leaving":   func(b *bed, s cell.Start) { b.tell(failed(s, engine.Leaving, effect.NotRun{})) },
		"stale":     func(b *bed, s cell.Start) { b.tell(failed(s, engine.Stale, effect.NotRun{})) },
		"marked":    func(b *bed, s cell.Start) { b.tell(cell.Leaving{Target: s.Target}) },
		"restarted": func(b *bed, s cell.Start) {
			b.tell(cell.Reported{Target: s.Target, Load: engine.Load{Incarnation: "second"}})
			b.tell(failed(s, engine.Broken, effect.Unknown{}))
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			b := newBed(2)
			b.tell(cell.Arrived{Job: work("first", 1, 2)})
			first := b.started(t, "first")
			b.tell(cell.Arrived{Job: work("second", 1, 2)})
			assert.Len(t, only[cell.Start](b.commands), 1, "the second waits")
			end(b, first)
			for range 40 {
				b.wait(100 * time.Millisecond)
			}
			b.started(t, "second")
			b.drain()
			assert.Empty(t, b.state.Running())
		})
	}
}

func TestLeavingEnginesGetNoNewWork(t *testing.T) {
	marks := map[string]func(b *bed, s cell.Start){
		"by the host list":   func(b *bed, s cell.Start) { b.tell(cell.Leaving{Target: s.Target}) },
		"by the engine":      func(b *bed, s cell.Start) { b.tell(failed(s, engine.Leaving, effect.NotRun{})) },
		"by its load report": func(b *bed, s cell.Start) { b.tell(leavingReport(s.Target, "first")) },
		"mark outlives lists": func(b *bed, s cell.Start) {
			b.tell(cell.Leaving{Target: s.Target})
			b.tell(cell.Targets{All: []cell.Target{
				{Name: "e0", Applications: []string{"chat"}, Capacity: 1}, {Name: "e1", Applications: []string{"chat"}, Capacity: 1},
			}})
		},
	}
	for name, mark := range marks {
		t.Run(name, func(t *testing.T) {
			b := newBed(2)
			b.tell(cell.Arrived{Job: work("a", 1, 2)})
			first := b.started(t, "a")
			b.tell(cell.Arrived{Job: work("queued", 1, 2)})
			mark(b, first)
			b.tell(cell.Reported{Target: first.Target, Load: engine.Load{Incarnation: "first"}})
			b.wait(time.Second)
			for i := range uint64(10) {
				b.tell(cell.Arrived{Job: work(fmt.Sprintf("new-%d", i), 50+2*i, 51+2*i)})
				b.wait(50 * time.Millisecond)
			}
			for _, s := range only[cell.Start](b.commands)[1:] {
				assert.NotEqual(t, first.Target, s.Target)
			}
		})
	}
}

func leavingReport(target, incarnation string) cell.Reported {
	return cell.Reported{Target: target, Load: engine.Load{Incarnation: incarnation, Leaving: true}}
}

func TestOnlyANewStartClearsTheLeavingMark(t *testing.T) {
	b := newBed(1)
	b.tell(leavingReport("e0", "first"))
	b.tell(cell.Reported{Target: "e0", Load: engine.Load{Incarnation: "first"}})
	assert.NotEmpty(t, only[cell.Refuse](b.tell(cell.Arrived{Job: work("a", 1)})))
	b.tell(cell.Reported{Target: "e0", Load: engine.Load{Incarnation: "second"}})
	assert.NotEmpty(t, only[cell.Start](b.tell(cell.Arrived{Job: work("b", 1)})))
}

func TestNewStartDropsKnowledge(t *testing.T) {
	b := newBed(1)
	b.tell(cell.Arrived{Job: work("a", 1, 2)})
	b.finish(b.started(t, "a"))
	b.tell(cell.Reported{Target: "e0", Load: engine.Load{Incarnation: "second"}})
	b.tell(cell.Arrived{Job: work("b", 1, 2)})
	assert.Zero(t, b.started(t, "b").Expected)
	assert.Equal(t, "second", b.started(t, "b").Incarnation)
	b.tell(cell.Snapshot{Target: "e0", Snapshot: engine.Snapshot{Incarnation: "first", Blocks: []uint64{8, 9}}})
	b.finish(b.started(t, "b"))
	b.tell(cell.Arrived{Job: work("c", 8, 9)})
	assert.Zero(t, b.started(t, "c").Expected, "a snapshot of the start before")
}

func TestAnswerHeadersCorrectTheBelief(t *testing.T) {
	b := newBed(1)
	b.tell(cell.Arrived{Job: work("a", 1, 2, 3)})
	b.finish(b.started(t, "a"))
	b.tell(cell.Arrived{Job: work("b", 1, 2, 3)})
	assert.Equal(t, 100, b.state.Flights()[0].Prefill)
	b.tell(cell.Started{Job: "b", Attempt: 1, Accepted: engine.Accepted{Incarnation: "first", CachedTokens: 2000, PromptTokens: 6100}})
	assert.Equal(t, 4100, b.state.Flights()[0].Prefill)
	b.tell(cell.Arrived{Job: work("c", 1, 2, 3)})
	assert.Len(t, only[cell.Start](b.commands), 2, "the third waits for what the second computes")
	b.tell(cell.Cancelled{Job: "b"})
	assert.Equal(t, 2000, b.started(t, "c").Expected)
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
			b := newBed(2)
			b.tell(cell.Arrived{Job: work("a", 1)})
			b.tell(failed(b.started(t, "a"), test.code, test.out))
			b.tell(failed(b.started(t, "a"), engine.Busy, effect.NotRun{}))
			refusals := only[cell.Refuse](b.commands)
			require.Len(t, refusals, 1)
			assert.Equal(t, test.want, refusals[0].Outcome)
			assert.NotZero(t, refusals[0].RetryAfter)
		})
	}
}

func TestLateRequestsAreRefusedBeforePrefill(t *testing.T) {
	b := newBed(1)
	for i := range 4 {
		b.tell(cell.Arrived{Job: work(fmt.Sprintf("long-%d", i), uint64(10*i+1), uint64(10*i+2), uint64(10*i+3))})
	}
	hurried := work("hurried", 90, 91)
	hurried.Deadline = 100 * time.Millisecond
	refusals := only[cell.Refuse](b.tell(cell.Arrived{Job: hurried}))
	require.Len(t, refusals, 1)
	assert.Equal(t, effect.NotRun{}, refusals[0].Outcome)
	assert.NotZero(t, refusals[0].RetryAfter)
	patient := work("patient", 80, 81)
	patient.Deadline = 2 * time.Second
	assert.Empty(t, only[cell.Refuse](b.tell(cell.Arrived{Job: patient})))
	b.now = b.now.Add(3 * time.Second)
	assert.Equal(t, "deadline", only[cell.Refuse](b.tell(cell.Tick{}))[0].Code)
}

func TestCancelFreesTheEstimateAtOnce(t *testing.T) {
	b := newBed(1)
	b.tell(cell.Arrived{Job: work("a", 1, 2, 3)})
	b.tell(cell.Arrived{Job: work("b", 4, 5, 6)})
	assert.NotZero(t, b.state.Flights()[0].Prefill)
	assert.Equal(t, []cell.Stop{{Job: "a", Attempt: 1}}, only[cell.Stop](b.tell(cell.Cancelled{Job: "a"})))
	assert.Equal(t, "e0", b.started(t, "b").Target, "the next one goes at once")
	b.tell(cell.Cancelled{Job: "b"})
	assert.Equal(t, []cell.Flight{{Target: "e0"}}, b.state.Flights())
}

func TestRetriesStayInTheBudget(t *testing.T) {
	b := newBed(8)
	const requests = 200
	for i := range requests {
		b.now = b.now.Add(time.Minute)
		id := fmt.Sprint(i)
		b.tell(cell.Arrived{Job: work(id, uint64(i))})
		for {
			before := len(b.commands)
			b.tell(failed(b.started(t, id), engine.Broken, effect.Unknown{}))
			if len(only[cell.Start](b.commands[before:])) == 0 {
				break
			}
		}
	}
	retries := len(only[cell.Start](b.commands)) - requests
	assert.LessOrEqual(t, float64(retries), 20+0.2*requests)
	assert.Empty(t, b.state.Running())
}

func TestAttemptsAreBounded(t *testing.T) {
	b := newBed(1)
	b.tell(cell.Arrived{Job: work("a", 1)})
	for range 4 {
		b.tell(failed(b.started(t, "a"), engine.Stale, effect.NotRun{}))
	}
	assert.Len(t, only[cell.Start](b.commands), 4)
	assert.Len(t, only[cell.Refuse](b.commands), 1)
	assert.Empty(t, b.state.Running())
}

func TestPriorityFollowsTheClass(t *testing.T) {
	b := newBed(1)
	slow := work("slow", 1)
	slow.Class = "batch"
	b.tell(cell.Arrived{Job: slow})
	b.tell(cell.Arrived{Job: work("quick", 2)})
	assert.Greater(t, b.started(t, "slow").Priority, b.started(t, "quick").Priority)
}

func ExampleState_Update() {
	state := cell.New(cell.WithSeed(7))
	now := time.Unix(0, 0)
	state, _ = state.Update(now, cell.Targets{All: []cell.Target{{Name: "engine-1", Applications: []string{"assistant"}}}})
	_, commands := state.Update(now, cell.Arrived{Job: job.Job{ID: "r1", Application: "assistant", PromptTokens: 40}})
	fmt.Println(commands[0].(cell.Start).Target)
	// Output: engine-1
}
