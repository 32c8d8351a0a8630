package pick_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/gate/plan"
)

// isolate applies a configuration in which some of the workspaces are isolated.
func (f *fleet) isolate(isolated ...string) {
	p := plan.Plan{Version: 1, Services: map[string]plan.Service{"lm": {Name: "lm", Engines: &f.plan}}}
	for _, name := range f.workspaces {
		p.Workspaces = append(p.Workspaces, plan.Workspace{Name: name, Isolated: slices.Contains(isolated, name)})
	}
	for _, host := range f.pickers {
		host.SetPlan(plan.New(p, nil, nil))
	}
}

// reading counts the requests of a second, and the tokens of their shared parts.
type reading struct{ requests, late, lost, shared, recomputed int }

func (r reading) share() float64 { return float64(r.recomputed) / float64(max(r.shared, 1)) }

// observeReading counts the requests of each second by their arrival.
func observeReading(f *fleet, seconds []reading) {
	at := func(r *simRun) *reading { return &seconds[min(int(r.arrived.Sub(start)/time.Second), len(seconds)-1)] }
	f.dispatched = func(r *simRun) {
		shared := r.kind.parts[0] + r.kind.parts[1]
		at(r).shared += shared
		at(r).recomputed += max(shared-r.dispatch.Cached-r.dispatch.Fetched, 0)
	}
	f.answered = func(r *simRun) {
		at(r).requests++
		if r.firstAt.Sub(r.arrived) > r.kind.objective {
			at(r).late++
		}
	}
	f.lost = func(r *simRun) {
		at(r).requests++
		at(r).lost++
	}
}

func total(seconds []reading) (sum reading) {
	for _, s := range seconds {
		sum = reading{sum.requests + s.requests, sum.late + s.late, sum.lost + s.lost, sum.shared + s.shared, sum.recomputed + s.recomputed}
	}
	return sum
}

// TestIsolationCostsOneRead guards against caches that don't recover from a change of
// isolation: each shared part is computed again at most once with each of the two new
// scopes, that of the workspace that is isolated and that of the others.
func TestIsolationCostsOneRead(t *testing.T) {
	const settled, change, end = 4, 10, 19
	for name, d := range map[string]deployment{"quotes": quotes(), "tracker": tracker()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seconds := make([]reading, end)
			f := newFleet(d, 1)
			observeReading(f, seconds)
			for i := range 8 {
				f.workspaces = append(f.workspaces, fmt.Sprint("workspace", i))
			}
			f.isolate("workspace0")
			f.run(change * time.Second)
			f.isolate("workspace0", "workspace1")
			f.run(end * time.Second)
			for _, span := range [][2]int{{settled, change}, {change, change + 1}, {change + 1, change + 2}, {change + 2, change + 4}, {change + 4, end}} {
				s := total(seconds[span[0]:span[1]])
				t.Logf("from second %d to %d %.1f in 100 shared tokens are computed again; of %d requests %d are late, %d refused", span[0], span[1], 100*s.share(), s.requests, s.late, s.lost)
			}
			after := total(seconds[change:])
			usual := total(seconds[settled:change]).share() * float64(after.shared)
			parts := 0
			for _, k := range d.kinds {
				parts += k.parts[0] + k.sheets*k.parts[1]
			}
			t.Logf("%.0f tokens are computed beyond the usual; the shared parts have %d", float64(after.recomputed)-usual, parts)
			assert.LessOrEqual(t, float64(after.recomputed), usual+2*float64(parts))
		})
	}
}
