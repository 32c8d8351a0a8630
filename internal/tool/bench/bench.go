// Package bench runs routing policies on loads in virtual time and collects the
// figures.
package bench

import (
	"context"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/tool/policy"
	"github.com/cicadamill/cicadamill/internal/tool/score"
	"github.com/cicadamill/cicadamill/internal/tool/simul"
	"github.com/cicadamill/cicadamill/internal/tool/synth"
)

// Policy is a named configuration of the routing decisions.
type Policy struct {
	Name string
	// Options select the decider and how routers share state.
	Options simul.Options
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
		{"roundRobin", simul.Options{NewDecider: baseline(policy.RoundRobin)}},
		{"leastLoaded", simul.Options{NewDecider: baseline(policy.LeastLoaded)}},
		{"prefixHash", simul.Options{NewDecider: baseline(policy.PrefixHash)}},
		{"home", simul.Options{NewDecider: newCellDecider, HasStore: true}},
		{"homeNoStore", simul.Options{NewDecider: newCellDecider}},
		{"gossip", simul.Options{NewDecider: newCellDecider, HasStore: true, Independent: true, GossipInterval: GossipInterval}},
		{"alone", simul.Options{NewDecider: newCellDecider, HasStore: true, Independent: true}},
	}
}

func baseline(kind policy.Kind) func(synth.Site, uint64) simul.Decider {
	return func(synth.Site, uint64) simul.Decider { return policy.New(kind) }
}

// cellDecider adapts the cell slice to [simul.Decider].
type cellDecider struct{ state cell.State }

// Update implements [simul.Decider].
func (s *cellDecider) Update(now time.Time, message cell.Message) []cell.Command {
	var commands []cell.Command
	s.state, commands = s.state.Update(now, message)
	return commands
}

// Flights implements [simul.LoadSharer].
func (s *cellDecider) Flights() []cell.EngineLoad { return s.state.EngineLoads() }

// Run runs every policy on every load, up to atOnce runs at a time, and returns the
// rows in the order of loads and then policies.
//
//	rows, err := bench.Run(ctx, synth.Loads(synth.Kochi(), 1), bench.Policies(), 4)
func Run(ctx context.Context, loads []synth.Load, policies []Policy, atOnce int) ([]Row, error) {
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
			rows[i] = Row{Site: load.Site.Name, Load: load.Name, Policy: policy.Name, Result: simul.Run(load, policy.Options)}
		}(ctx)
	}
	for range rows {
		<-done
	}
	return rows, ctx.Err()
}
