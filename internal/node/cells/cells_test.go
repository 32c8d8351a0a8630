package cells_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/node/cells"
	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// ready is an engine that answers at once.
type ready struct{ engine.Client }

func (ready) Complete(_ context.Context, _ engine.Call, sink func(engine.Event) error) error {
	if err := sink(engine.Accepted{Engine: "e", Incarnation: "1"}); err != nil {
		return err
	}
	return sink(engine.Done{})
}

func (ready) Snapshot(context.Context) (engine.Snapshot, error) {
	return engine.Snapshot{Incarnation: "1"}, nil
}

// TestEveryRequestMeetsTheEngines sends many requests to a cell that nobody has
// used yet. None may be before the cell's list of engines.
func TestEveryRequestMeetsTheEngines(t *testing.T) {
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
			Dial:    func(string) (engine.Client, bool) { return ready{}, true },
			Leaving: func() []string { return nil }, Scope: tally.NoopScope, Supervised: func(suture.Event) {},
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
