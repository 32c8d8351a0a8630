package cells_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/node/cells"
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// instantEngine answers each call at once.
type instantEngine struct{ engine.Client }

func (instantEngine) Complete(_ context.Context, _ engine.Call, sink func(engine.Event) error) error {
	if err := sink(engine.Accepted{Engine: "e", Incarnation: "1"}); err != nil {
		return err
	}
	return sink(engine.Done{})
}

func (instantEngine) Snapshot(context.Context) (engine.Snapshot, error) {
	return engine.Snapshot{Incarnation: "1"}, nil
}

func TestBestIsTheFirstCandidate(t *testing.T) {
	set := cells.New(cells.Options{DataCentre: "d", Targets: func(site.Config) cell.Targets { return cell.Targets{} }, Scope: tally.NoopScope})
	j := job.Job{Application: "a", Workspace: "w", Blocks: []uint64{1, 2, 3}}
	_, ok := set.Best(j)
	assert.False(t, ok, "no configuration yet")
	config := site.Config{
		Regions:      []site.Region{{Name: "r", DataCentres: []string{"d"}}},
		Applications: []site.Application{{Name: "a", Model: "m"}},
	}
	for i := range 100 {
		name := fmt.Sprint("e", i)
		config.Engines = append(config.Engines, site.Engine{Name: name, Model: "m", DataCentre: "d"})
		config.Applications[0].Engines = append(config.Applications[0].Engines, name)
	}
	set.Apply(t.Context(), config)
	first, ok := set.Best(j)
	assert.True(t, ok)
	assert.Equal(t, set.Candidates(j)[0], first)
	_, ok = set.Best(job.Job{Application: "none"})
	assert.False(t, ok)
}

// blockingEngine answers its calls when release is closed.
type blockingEngine struct {
	instantEngine
	accepted chan struct{}
	release  chan struct{}
}

func (e blockingEngine) Complete(ctx context.Context, call engine.Call, sink func(engine.Event) error) error {
	e.accepted <- struct{}{}
	<-e.release
	return e.instantEngine.Complete(ctx, call, sink)
}

// TestRunningCellsAreBounded keeps the maximum number of cells in use and checks
// that a request for one more is refused.
func TestRunningCellsAreBounded(t *testing.T) {
	const bound = 64
	config, all := site.Config{}, []cell.Target{}
	for i := range bound + 1 {
		name := fmt.Sprintf("e%02d", i)
		config.Engines = append(config.Engines, site.Engine{Name: name, Model: "m"})
		config.Applications = append(config.Applications, site.Application{Name: name, Model: "m", Engines: []string{name}})
		all = append(all, cell.Target{Name: name, Model: "m", Applications: []string{name}, Capacity: 1})
	}
	engines := blockingEngine{accepted: make(chan struct{}), release: make(chan struct{})}
	set := cells.New(cells.Options{
		Targets: func(site.Config) cell.Targets { return cell.Targets{All: all} },
		Dial:    func(string) (engine.Client, bool) { return engines, true },
		Leaving: func() []string { return nil }, Scope: tally.NoopScope, OnSupervisorEvent: func(suture.Event) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	set.Apply(ctx, config)
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- set.Serve(ctx) }(ctx)
	run := func(ctx context.Context, application string) error {
		j := job.Job{ID: application, Application: application, Model: "m"}
		return set.Run(ctx, set.Candidates(j)[0].ID, j, func(engine.Event) error { return nil })
	}
	answers := make(chan error, bound)
	for i := range bound {
		go func(ctx context.Context) { answers <- run(ctx, fmt.Sprintf("e%02d", i)) }(ctx)
		<-engines.accepted
	}
	var refused *fault.Error
	require.ErrorAs(t, run(ctx, fmt.Sprintf("e%02d", bound)), &refused)
	assert.Equal(t, "tooManyCells", refused.Code)
	assert.IsType(t, effect.NotRun{}, refused.Outcome)
	close(engines.release)
	for range bound {
		assert.NoError(t, <-answers)
	}
	cancel()
	<-ended
}

// TestFirstRequestsSeeTheEngines sends concurrent requests to a cell that isn't
// running yet. None of them may reach the loop before the list of engines.
func TestFirstRequestsSeeTheEngines(t *testing.T) {
	const sets, requests = 300, 8
	config := site.Config{
		Engines:      []site.Engine{{Name: "e", Model: "m"}},
		Applications: []site.Application{{Name: "a", Model: "m", Engines: []string{"e"}}},
	}
	for range sets {
		set := cells.New(cells.Options{
			Targets: func(site.Config) cell.Targets {
				return cell.Targets{All: []cell.Target{{Name: "e", Model: "m", Applications: []string{"a"}, Capacity: 1}}}
			},
			Dial:    func(string) (engine.Client, bool) { return instantEngine{}, true },
			Leaving: func() []string { return nil }, Scope: tally.NoopScope, OnSupervisorEvent: func(suture.Event) {},
		})
		ctx, cancel := context.WithCancel(context.Background())
		set.Apply(ctx, config)
		ended := make(chan error, 1)
		go func() { ended <- set.Serve(ctx) }()
		errs := make(chan error, requests)
		for i := range requests {
			go func() {
				j := job.Job{ID: string(rune('a' + i)), Application: "a", Model: "m"}
				errs <- set.Run(ctx, set.Candidates(j)[0].ID, j, func(engine.Event) error { return nil })
			}()
		}
		for range requests {
			assert.NoError(t, <-errs)
		}
		cancel()
		<-ended
	}
}
