package flow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/node/guard"
	"github.com/cicadamill/cicadamill/internal/node/loop"
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const answerLength = 5

// step is one action of a scripted engine: accept, token, done, pause, sleep,
// fail or die.
type step interface{ step() }

type (
	// accept accepts the call with this weight version.
	accept string
	// token sends the chunk of this offset.
	token int
	// done completes the answer.
	done struct{}
	// pause waits, and ends early when the call is cancelled.
	pause time.Duration
	// sleep waits and ignores cancellation.
	sleep time.Duration
	// fail fails the call with an error.
	fail struct{ error *engine.Error }
	// die breaks the call off and restarts the engine with a new incarnation.
	die struct{}
)

func (accept) step() {}
func (token) step()  {}
func (done) step()   {}
func (pause) step()  {}
func (sleep) step()  {}
func (fail) step()   {}
func (die) step()    {}

func broken() fail {
	return fail{&engine.Error{Code: engine.Broken, Outcome: effect.Unknown{Reason: "cut"}}}
}

func notRun(code engine.Code) fail {
	return fail{&engine.Error{Code: code, Outcome: effect.NotRun{Reason: string(code)}}}
}

// fleet is a set of engines that follow one script per call, in the order of the
// calls. Calls after the last script get a complete answer.
type fleet struct {
	mu       sync.Mutex
	scripts  [][]step
	calls    []engine.Call
	cancels  []string
	imports  []engine.ImportRequest
	restarts int
}

// client is one engine of the fleet.
type client struct {
	engine.Client
	fleet *fleet
	name  string
}

func (f *fleet) dial(name string) (engine.Client, bool) {
	return &client{fleet: f, name: name}, true
}

func (f *fleet) next(call engine.Call) ([]step, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
	incarnation := fmt.Sprint("i", f.restarts)
	if len(f.scripts) == 0 {
		steps := []step{accept("1")}
		for i := call.Offset; i < answerLength; i++ {
			steps = append(steps, token(i))
		}
		return append(steps, done{}), incarnation
	}
	script := f.scripts[0]
	f.scripts = f.scripts[1:]
	return script, incarnation
}

// chunk returns the content of the chunk at an offset for a weight version.
func chunk(weights string, offset int) string { return fmt.Sprint(weights, ":", offset) }

func (c *client) Complete(ctx context.Context, call engine.Call, sink func(engine.Event) error) error {
	steps, incarnation := c.fleet.next(call)
	weights := ""
	for _, s := range steps {
		var err error
		switch s := s.(type) {
		case accept:
			weights = string(s)
			err = sink(engine.Accepted{Engine: c.name, Incarnation: incarnation, WeightVersion: weights})
		case token:
			err = sink(engine.Token{Offset: int(s), Data: []byte(chunk(weights, int(s)))})
		case done:
			err = sink(engine.Done{OutputTokens: answerLength})
		case pause:
			err = wait(ctx, time.Duration(s))
		case sleep:
			err = wait(context.Background(), time.Duration(s))
		case fail:
			err = s.error
		case die:
			c.fleet.mu.Lock()
			c.fleet.restarts++
			c.fleet.mu.Unlock()
			err = broken().error
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return &engine.Error{Code: engine.Broken, Outcome: effect.Unknown{}, Message: ctx.Err().Error()}
	}
}

func (c *client) Cancel(_ context.Context, attempt string) error {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.fleet.cancels = append(c.fleet.cancels, attempt)
	return nil
}

func (c *client) Load(context.Context) (engine.LoadReport, error) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return engine.LoadReport{Incarnation: fmt.Sprint("i", c.fleet.restarts)}, nil
}

func (c *client) Import(_ context.Context, request engine.ImportRequest) error {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.fleet.imports = append(c.fleet.imports, request)
	return errors.New("no such store")
}

// node is a runner with its cell loop and fleet.
type node struct {
	fleet  *fleet
	runner *Runner
	scope  tally.TestScope
}

func start(t *testing.T, scripts ...[]step) *node {
	t.Helper()
	n := &node{fleet: &fleet{scripts: scripts}, scope: tally.NewTestScope("", nil)}
	cellLoop := loop.New(func(context.Context, string) {})
	var targets cell.Targets
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		targets.All = append(targets.All, cell.Target{Name: name, Applications: []string{"p"}, Model: "m", Capacity: 1})
	}
	require.NoError(t, cellLoop.Send(context.Background(), targets))
	g := guard.New(n.scope)
	n.runner = New(cellLoop, n.fleet.dial, WithGuard(g), WithScope(n.scope), WithAcceptTimeout(5*time.Second), WithFirstTokenTimeout(20*time.Second), WithStallTimeout(4*time.Second))
	ctx, cancel := context.WithCancel(context.Background())
	supervisor := suture.New("test", suture.Spec{EventHook: func(suture.Event) {}})
	supervisor.Add(cellLoop)
	supervisor.Add(g)
	ended := supervisor.ServeBackground(ctx)
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return n
}

func request(id string) job.Job {
	return job.Job{ID: id, Application: "p", Model: "m", WeightVersion: "1", Fingerprint: 7, PromptTokens: 10}
}

// receivedAnswer collects the events that a caller receives.
type receivedAnswer struct {
	chunks  []string
	done    bool
	weights string
}

func (s *receivedAnswer) sink(event engine.Event) error {
	switch e := event.(type) {
	case engine.Accepted:
		s.weights = e.WeightVersion
	case engine.Token:
		s.chunks = append(s.chunks, string(e.Data))
	case engine.Done:
		s.done = true
	}
	return nil
}

func fullAnswer(weights string) []string {
	var all []string
	for i := range answerLength {
		all = append(all, chunk(weights, i))
	}
	return all
}

func counterValue(scope tally.TestScope, name string) int64 {
	total := int64(0)
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == name {
			total += c.Value()
		}
	}
	return total
}
