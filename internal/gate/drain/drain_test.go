package drain_test

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/gate/drain"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/safety/order"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// engines is a fake that records the calls to engines.
type engines struct {
	report  drain.Report
	reports int
	loads   []drain.Load
}

func (e *engines) Report(context.Context, roster.Target) (drain.Report, error) {
	e.reports++
	return e.report, nil
}

func (e *engines) Load(_ context.Context, _ roster.Target, load drain.Load) error {
	e.loads = append(e.loads, load)
	return nil
}

type fixture struct {
	*drain.Drainer
	engines engines
	targets map[string]roster.Target
	loaded  []uint64
}

func newFixture() *fixture {
	w := &fixture{targets: map[string]roster.Target{
		"e":    {ID: "e", Born: 1, Versions: map[string]uint64{"m": 1}},
		"left": {ID: "left", Born: 1, Leaving: true, Versions: map[string]uint64{"m": 1}},
		"app":  {ID: "app", Born: 1},
	}}
	w.Drainer = drain.New(drain.Options{
		Engines: &w.engines, Targets: func() map[string]roster.Target { return w.targets }, Running: func(string) int { return 2 },
		Wanted: func() map[string]uint64 { return map[string]uint64{"m": 2} }, ChecksFence: func() bool { return false },
		Loaded: func(_, _ string, version uint64) { w.loaded = append(w.loaded, version) }, Logger: hclog.NewNullLogger(),
	})
	return w
}

func (w *fixture) dial(t *testing.T, id string) engine.Client {
	t.Helper()
	c, ok := w.Dial(id)
	require.True(t, ok)
	return c
}

func TestConfigOmitsLeavingEngines(t *testing.T) {
	config := newFixture().Config()
	require.Len(t, config.Engines, 1)
	assert.Equal(t, "e", config.Engines[0].Name)
	assert.Equal(t, "2", config.Models[0].WeightVersion)
}

func TestServingEngineIsNotCalled(t *testing.T) {
	w := newFixture()
	load, err := w.dial(t, "e").Load(t.Context())
	require.NoError(t, err)
	assert.Equal(t, "1", load.WeightVersion)
	assert.Equal(t, 2, load.Running)
	assert.Zero(t, w.engines.reports)
}

func TestEmptyLoadAndBack(t *testing.T) {
	w := newFixture()
	e := w.dial(t, "e")
	require.NoError(t, e.Order(t.Context(), engine.SetRole{Role: order.RoleDrain}))
	assert.Equal(t, []string{"e"}, w.Drained())
	w.engines.report = drain.Report{Versions: map[string]uint64{"m": 1}, Orders: 4, Running: 3}
	load, err := e.Load(t.Context())
	require.NoError(t, err)
	assert.Equal(t, order.RoleDrain, load.Role)
	assert.Equal(t, 3, load.Running)

	require.NoError(t, e.Order(t.Context(), engine.LoadModel{Model: "m", WeightVersion: "2", Fence: 9}))
	assert.Equal(t, []drain.Load{{Model: "m", Version: 2, Fence: 9, AfterOrders: 4}}, w.engines.loads, "the order number lets the engine refuse a late copy of an older order")

	w.engines.report = drain.Report{Versions: map[string]uint64{"m": 2}, Orders: 5}
	load, err = e.Load(t.Context())
	require.NoError(t, err)
	assert.Equal(t, "2", load.WeightVersion)
	assert.Contains(t, w.loaded, uint64(2))
	require.NoError(t, e.Order(t.Context(), engine.SetRole{Role: order.RoleServe}))
	assert.Empty(t, w.Drained())
}

func TestRestartedEngineIsNotDrained(t *testing.T) {
	w := newFixture()
	require.NoError(t, w.dial(t, "e").Order(t.Context(), engine.SetRole{Role: order.RoleDrain}))
	next := w.targets["e"]
	next.Born = 2
	w.targets["e"] = next
	assert.Empty(t, w.Drained())
}

func TestBadOrders(t *testing.T) {
	w := newFixture()
	tests := map[string]engine.Order{
		"version that is no number": engine.LoadModel{Model: "m", WeightVersion: "two"},
		"order that engines lack":   engine.LoadAdapter{Adapter: "a", Version: "1"},
	}
	for name, o := range tests {
		t.Run(name, func(t *testing.T) {
			var failure *engine.Error
			require.ErrorAs(t, w.dial(t, "e").Order(t.Context(), o), &failure)
			assert.Equal(t, engine.Invalid, failure.Code)
		})
	}
	_, ok := w.Dial("nobody")
	assert.False(t, ok)
}
