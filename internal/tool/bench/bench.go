// Package bench runs every policy on every load and gathers the figures.
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

// Policy is a way to decide, by name.
type Policy struct {
	// Name is the policy's name.
	Name string
	// Options say who decides.
	Options world.Options
}

// Row is one run.
type Row struct {
	// Site, Load and Policy name the run.
	Site   string `json:"site"`
	Load   string `json:"load"`
	Policy string `json:"policy"`
	// Result holds the figures.
	Result score.Result `json:"result"`
}

// GossipInterval is the interval of the policy "gossip".
const GossipInterval = 200 * time.Millisecond

// Policies returns the baselines and the ways of the cell slice. The baselines
// decide in one place too, so that only the policy differs.
func Policies() []Policy {
	return []Policy{
		{"roundRobin", world.Options{Make: baseline(rival.RoundRobin)}},
		{"leastLoaded", world.Options{Make: baseline(rival.LeastLoaded)}},
		{"prefixHash", world.Options{Make: baseline(rival.PrefixHash)}},
		{"home", world.Options{Make: own, Store: true}},
		{"homeNoStore", world.Options{Make: own}},
		{"gossip", world.Options{Make: own, Store: true, Alone: true, Gossip: GossipInterval}},
		{"alone", world.Options{Make: own, Store: true, Alone: true}},
	}
}

func baseline(kind rival.Kind) func(trace.Site, uint64) world.Decider {
	return func(trace.Site, uint64) world.Decider { return rival.New(kind) }
}

// slice drives the cell slice as a decider.
type slice struct{ state cell.State }

// Update implements [world.Decider].
func (s *slice) Update(now time.Time, message cell.Message) []cell.Command {
	var commands []cell.Command
	s.state, commands = s.state.Update(now, message)
	return commands
}

// Flights implements [world.Teller].
func (s *slice) Flights() []cell.Flight { return s.state.Flights() }

// Run runs the policies on the loads, some at once, and returns the rows in
// order of loads and policies.
//
//	rows, err := bench.Run(ctx, trace.Loads(trace.Kochi(), 1), bench.Policies(), 4)
func Run(ctx context.Context, loads []trace.Load, policies []Policy, atOnce int) ([]Row, error) {
	rows := make([]Row, len(loads)*len(policies))
	slots := make(chan struct{}, max(1, atOnce))
	ended := make(chan struct{})
	for i := range rows {
		load, policy := loads[i/len(policies)], policies[i%len(policies)]
		go func(ctx context.Context) {
			defer func() { ended <- struct{}{} }()
			slots <- struct{}{}
			defer func() { <-slots }()
			if ctx.Err() != nil {
				return
			}
			rows[i] = Row{Site: load.Site.Name, Load: load.Name, Policy: policy.Name, Result: world.Run(load, policy.Options)}
		}(ctx)
	}
	for range rows {
		<-ended
	}
	return rows, ctx.Err()
}
