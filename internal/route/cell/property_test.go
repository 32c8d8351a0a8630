package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// chaos injects random events and faults and checks the invariants of each
// command against its record of the requests.
type chaos struct {
	*harness
	t        *rapid.T
	jobs     int
	open     map[string]cell.Start
	imports  []cell.Import
	ended    map[string]bool
	leaving  map[string]bool
	starts   map[string]int
	restarts map[string]int
}

const chaosEngines = 4

// incarnation returns the current incarnation of an engine, at first "first".
func (c *chaos) incarnation(target string) string {
	if c.restarts[target] == 0 {
		return "first"
	}
	return fmt.Sprintf("%s-%d", target, c.restarts[target])
}

// apply sends a message and checks the resulting commands.
func (c *chaos) apply(message cell.Message) {
	for _, command := range c.update(message) {
		switch m := command.(type) {
		case cell.Start:
			c.starts[m.Job]++
			assert.False(c.t, c.ended[m.Job], "attempt for a request that has ended")
			assert.False(c.t, c.leaving[m.Target], "attempt at an engine that is leaving")
			assert.NotContains(c.t, c.open, m.Job, "two attempts of a request at once")
			c.open[m.Job] = m
		case cell.Refuse:
			assert.False(c.t, c.ended[m.Job], "refusal of a request that has ended")
			assert.NotContains(c.t, c.open, m.Job, "refusal while an attempt is in flight")
			c.ended[m.Job] = true
		case cell.Cancel:
			delete(c.open, m.Job)
		case cell.Import:
			assert.False(c.t, c.leaving[m.Target], "import into an engine that is leaving")
			c.imports = append(c.imports, m)
		}
	}
}

func (c *chaos) arrive() {
	c.jobs++
	prompt := []uint64{1, 2, 3}[:rapid.IntRange(0, 3).Draw(c.t, "shared")]
	for range rapid.IntRange(0, 4).Draw(c.t, "own") {
		prompt = append(slices.Clone(prompt), rapid.Uint64Range(10, 14).Draw(c.t, "block"))
	}
	j := job.Job{
		ID: fmt.Sprint(c.jobs), Workspace: fmt.Sprint(rapid.IntRange(0, 2).Draw(c.t, "workspace")), Application: "chat",
		Blocks: prompt, BlockTokens: 2000, PromptTokens: 2000*len(prompt) + 50,
	}
	if rapid.Bool().Draw(c.t, "hurried") {
		j.Deadline = time.Second
	}
	c.apply(cell.Arrived{Job: j})
}

func (c *chaos) pickOpen() (cell.Start, bool) {
	ids := make([]string, 0, len(c.open))
	for id := range c.open {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return cell.Start{}, false
	}
	slices.Sort(ids)
	return c.open[rapid.SampledFrom(ids).Draw(c.t, "job")], true
}

func (c *chaos) end(s cell.Start, code engine.Code, outcome effect.Outcome) {
	delete(c.open, s.Job)
	if _, ok := outcome.(effect.Answered); ok {
		c.ended[s.Job] = true
	}
	if code == engine.Leaving {
		c.leaving[s.Target] = true
	}
	c.apply(cell.Ended{Job: s.Job, Attempt: s.Attempt, Code: code, Outcome: outcome})
}

func (c *chaos) step() {
	target := fmt.Sprintf("e%d", rapid.IntRange(0, chaosEngines-1).Draw(c.t, "engine"))
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(c.t, "millis")) * time.Millisecond)
	s, running := c.pickOpen()
	switch action := rapid.IntRange(0, 14).Draw(c.t, "what"); {
	case action <= 4:
		c.arrive()
	case action == 5:
		c.apply(cell.Tick{})
	case action == 6 && !c.leaving[target]:
		c.leaving[target] = true
		c.apply(cell.Leaving{Target: target})
	case action == 7:
		c.restarts[target]++
		c.leaving[target] = false
		c.apply(cell.LoadReport{Target: target, Load: engine.LoadReport{Incarnation: c.incarnation(target)}})
	case action == 8 && len(c.imports) > 0:
		c.endImport(c.imports[0])
		c.imports = c.imports[1:]
	case action == 9 && running:
		delete(c.open, s.Job)
		c.ended[s.Job] = true
		c.apply(cell.Cancelled{Job: s.Job})
	case action == 10 && running && rapid.Bool().Draw(c.t, "accepted"):
		c.apply(cell.Started{Job: s.Job, Attempt: s.Attempt, Accepted: engine.Accepted{
			Incarnation: c.incarnation(s.Target), CachedTokens: rapid.IntRange(0, 20000).Draw(c.t, "cached"), PromptTokens: 1,
		}})
	case action == 10 && running:
		c.apply(cell.FirstToken{Job: s.Job, Attempt: s.Attempt})
	case action == 11 && running:
		c.end(s, "", effect.Answered{})
	case action >= 12 && running:
		code := rapid.SampledFrom([]engine.Code{engine.Busy, engine.Broken, engine.Stale, engine.Leaving, engine.Unreachable}).Draw(c.t, "code")
		var outcome effect.Outcome = effect.NotRun{}
		if code == engine.Broken {
			outcome = effect.Unknown{}
		}
		c.end(s, code, outcome)
	}
}

func (c *chaos) endImport(i cell.Import) {
	m := cell.Imported{Job: i.Job, Target: i.Target, Incarnation: i.Incarnation, WeightVersion: i.WeightVersion, Took: time.Second}
	if rapid.Bool().Draw(c.t, "imported") {
		m.Blocks = len(i.Blocks)
	}
	c.apply(m)
}

// settle answers all attempts for a minute, after which every request must have
// ended.
func (c *chaos) settle() {
	for range 600 {
		for range len(c.open) {
			for id, s := range c.open {
				c.apply(cell.FirstToken{Job: id, Attempt: s.Attempt})
				c.end(s, "", effect.Answered{})
				break
			}
		}
		c.now = c.now.Add(100 * time.Millisecond)
		c.apply(cell.Tick{})
	}
}

func TestNoRequestIsLostAndNoEstimateLeaks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &chaos{
			harness: newHarnessWith(chaosEngines, cell.Targets{HasStore: true}), t: t, open: map[string]cell.Start{},
			ended: map[string]bool{}, leaving: map[string]bool{}, starts: map[string]int{}, restarts: map[string]int{},
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			c.step()
		}
		c.settle()
		assert.Empty(t, c.state.Running())
		assert.Zero(t, c.state.Waiting())
		assert.Len(t, c.ended, c.jobs, "every request should end exactly once")
		for _, f := range c.state.EngineLoads() {
			assert.Zero(t, f.Prefill)
			assert.Zero(t, f.Calls)
			assert.Zero(t, f.Waiting)
		}
		for id, count := range c.starts {
			assert.LessOrEqual(t, count, 4, id)
		}
	})
}

func TestSameMessagesGiveSameCommands(t *testing.T) {
	run := func() []cell.Command {
		b := newHarness(5)
		for i := range 60 {
			b.update(cell.Arrived{Job: newJob(fmt.Sprint(i), uint64(i%7), uint64(i%11))})
			if i%3 == 0 {
				b.update(failure(commandsOf[cell.Start](b.commands)[0], engine.Broken, effect.Unknown{}))
			}
			b.advance(50 * time.Millisecond)
		}
		return b.commands
	}
	assert.Equal(t, run(), run())
}
