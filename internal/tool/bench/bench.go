// Package bench runs routing policies on loads in virtual time and collects the
// figures.
package bench

import (
	"context"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/tool/rival"
	"github.com/cicadamill/cicadamill/internal/tool/score"
	"github.com/cicadamill/cicadamill/internal/tool/trace"
	"github.com/cicadamill/cicadamill/internal/tool/world"
)

// Policy is a named configuration of the routing decisions.
type Policy struct {
	Name string
	// Options select the decider and how routers share state.
	Options world.Options
}

// Row holds the figures of one run.
type Row struct {
	// Site, Load and Policy identify the run.
	Site   string       `json:"site"`
	Load   string       `json:"load"`
	Policy string       `json:"policy"`
	Result score.Result `json:"result"`
}

// GossipInterval is the interval at which routers exchange their loads under the
// policy "gossip".
const GossipInterval = 200 * time.Millisecond

// Policies returns the baselines and the variants of the cell slice. The baselines
// decide at one home as well, so that a comparison with "home" shows the effect of
// the policy alone.
func Policies() []Policy {
	return []Policy{
		{"roundRobin", world.Options{Make: baseline(rival.RoundRobin)}},
		{"leastLoaded", world.Options{Make: baseline(rival.LeastLoaded)}},
		{"prefixHash", world.Options{Make: baseline(rival.PrefixHash)}},
		{"home", world.Options{Make: newCellDecider, Store: true}},
		{"homeNoStore", world.Options{Make: newCellDecider}},
		{"gossip", world.Options{Make: newCellDecider, Store: true, Alone: true, Gossip: GossipInterval}},
		{"alone", world.Options{Make: newCellDecider, Store: true, Alone: true}},
	}
}

func baseline(kind rival.Kind) func(trace.Site, uint64) world.Decider {
	return func(trace.Site, uint64) world.Decider { return rival.New(kind) }
}

// cellDecider adapts the cell slice to [world.Decider].
type cellDecider struct{ state cell.State }

// Update implements [world.Decider].
func (s *cellDecider) Update(now time.Time, message cell.Message) []cell.Command {
	var commands []cell.Command
	s.state, commands = s.state.Update(now, message)
	return commands
}

// Flights implements [world.Teller].
func (s *cellDecider) Flights() []cell.EngineLoad { return s.state.EngineLoads() }

// Run runs every policy on every load, up to atOnce runs at a time, and returns the
// rows in the order of loads and then policies.
//
//	rows, err := bench.Run(ctx, trace.Loads(trace.Kochi(), 1), bench.Policies(), 4)
func Run(ctx context.Context, loads []trace.Load, policies []Policy, atOnce int) ([]Row, error) {
	rows := make([]Row, len(loads)*len(policies))
	slots := make(chan struct{}, max(1, atOnce))
	done := make(chan struct{})
	for i := range rows {
		load, policy := loads[i/len(policies)], policies[i%len(policies)]
		go func(ctx context.Context) {
			defer func() { done <- struct{}{} }()
			slots <- struct{}{}
			defer func() { <-slots }()
			if ctx.Err() != nil {
				return
			}
			rows[i] = Row{Site: load.Site.Name, Load: load.Name, Policy: policy.Name, Result: world.Run(load, policy.Options)}
		}(ctx)
	}
	for range rows {
		<-done
	}
	return rows, ctx.Err()
}
