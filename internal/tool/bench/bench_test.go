package bench_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/tool/bench"
	"github.com/cicadamill/cicadamill/internal/tool/judge"
	"github.com/cicadamill/cicadamill/internal/tool/synth"
)

func filter[T any](all []T, name func(T) string, names ...string) []T {
	var found []T
	for _, item := range all {
		for _, n := range names {
			if name(item) == n {
				found = append(found, item)
			}
		}
	}
	return found
}

func loads(site synth.Site, names ...string) []synth.Load {
	return filter(synth.Loads(site, 1), func(l synth.Load) string { return l.Name }, names...)
}

func policies(names ...string) []bench.Policy {
	return filter(bench.Policies(), func(p bench.Policy) string { return p.Name }, names...)
}

// TestTargets checks the targets on the loads that run quickly.
func TestTargets(t *testing.T) {
	sites := map[string]synth.Site{"ashaiman": synth.Ashaiman(), "kochi": synth.Kochi()}
	for name, site := range sites {
		t.Run(name, func(t *testing.T) {
			rows, err := bench.Run(context.Background(), loads(site, "steady", "shift", "crash"), policies("leastLoaded", "prefixHash", "home"), 2)
			require.NoError(t, err)
			verdicts := judge.Verdicts(rows, "home")
			assert.Len(t, verdicts, 9)
			for _, v := range verdicts {
				assert.True(t, v.Met, "%s, %s: %.3f against %.2f", v.Load, v.Target, v.Figure, v.Bound)
			}
		})
	}
}

func TestSameSeedGivesSameFigures(t *testing.T) {
	run := func() []bench.Row {
		rows, err := bench.Run(context.Background(), loads(synth.Ashaiman(), "herd"), policies("home", "gossip", "leastLoaded"), 3)
		require.NoError(t, err)
		return rows
	}
	assert.Equal(t, run(), run())
}

func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := bench.Run(ctx, loads(synth.Kochi(), "steady"), policies("home"), 1)
	assert.ErrorIs(t, err, context.Canceled)
}
