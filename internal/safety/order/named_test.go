package order_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/safety/order"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// fleet plays engines that take a second to load, in virtual time.
type fleet struct {
	state   order.State
	now     time.Time
	version map[string]string
	loading map[string]time.Time
	next    map[string]string
	drained map[string]bool
	running map[string]int
	// lost swallows orders to load: they are answered by nobody.
	lost int
	most int
}

const loadTime = time.Second

func newFleet(n int, options order.Options) *fleet {
	f := &fleet{
		state: order.New(options), now: time.Unix(1000, 0), version: map[string]string{}, loading: map[string]time.Time{},
		next: map[string]string{}, drained: map[string]bool{}, running: map[string]int{},
	}
	for i := range n {
		f.version[fmt.Sprintf("e%02d", i)] = "1"
	}
	return f
}

var named = order.Options{
	MaxLoads: 2, LoadShare: 5, LoadTimeout: 10 * time.Second, Settle: 200 * time.Millisecond, MaxAge: time.Second,
	Patience: 500 * time.Millisecond, KeepTrying: true,
}

// step lets a tenth of a second pass under a wanted version.
func (f *fleet) step(want string) {
	f.now = f.now.Add(100 * time.Millisecond)
	wanted := map[string]order.Wanted{}
	for name := range f.version {
		wanted[name] = order.Wanted{Model: "m", WeightVersion: want}
	}
	f.state, _ = f.state.Update(f.now, order.Want{Engines: wanted})
	for name, until := range f.loading {
		if !f.now.Before(until) {
			f.version[name] = f.next[name]
			delete(f.loading, name)
		}
	}
	for name, version := range f.version {
		load := engine.Load{Incarnation: "1", Model: "m", WeightVersion: version, Role: order.RoleServe, Running: f.running[name]}
		_, load.Loading = f.loading[name]
		if f.drained[name] {
			load.Role = order.RoleDrain
		}
		f.state, _ = f.state.Update(f.now, order.Seen{Engine: name, Load: load})
	}
	var commands []order.Command
	f.state, commands = f.state.Update(f.now, order.Tick{})
	for _, command := range commands {
		f.obey(command.(order.Send))
	}
	f.most = max(f.most, len(f.loading))
}

func (f *fleet) obey(s order.Send) {
	result := order.Obeyed
	switch o := s.Order.(type) {
	case engine.SetRole:
		f.drained[s.Engine] = o.Role == order.RoleDrain
	case engine.LoadModel:
		if f.lost > 0 {
			f.lost--
			result = order.Unsure
			break
		}
		f.next[s.Engine], f.loading[s.Engine] = o.WeightVersion, f.now.Add(loadTime)
	}
	f.state, _ = f.state.Update(f.now, order.Ended{ID: s.ID, Engine: s.Engine, Result: result})
}

// serve steps until all engines serve a version and returns how long that took.
func (f *fleet) serve(t *testing.T, want string, limit time.Duration) time.Duration {
	t.Helper()
	began := f.now
	for f.now.Sub(began) < limit {
		f.step(want)
		if !slices.ContainsFunc(f.names(), func(n string) bool { return f.version[n] != want || f.drained[n] }) {
			return f.now.Sub(began)
		}
	}
	require.Fail(t, "not all engines serve the wanted version", "%v", f.version)
	return 0
}

func (f *fleet) names() []string {
	var names []string
	for name := range f.version {
		names = append(names, name)
	}
	return names
}

func TestLoadsAtOnceFollowTheNumberOfEngines(t *testing.T) {
	for engines, most := range map[int]int{4: 2, 9: 2, 20: 4, 140: 28} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			f := newFleet(engines, named)
			f.serve(t, "2", time.Minute)
			assert.Equal(t, most, f.most)
		})
	}
}

// TestNoEngineIsLeftBehind: versions are named faster than all engines can load
// them. No engine stays on a version for much longer than one round takes.
func TestNoEngineIsLeftBehind(t *testing.T) {
	f := newFleet(9, named)
	since := map[string]int{}
	oldest := 0
	for step := range 400 {
		f.step(fmt.Sprint(2 + step/40))
		for _, name := range f.names() {
			if f.version[name] == fmt.Sprint(1+step/40) || f.version[name] == fmt.Sprint(2+step/40) {
				since[name] = step
			}
			oldest = max(oldest, step-since[name])
		}
	}
	assert.Less(t, oldest, 80, "in tenths of a second")
}

// TestLoadDoesNotWaitForLongRuns: an engine whose runs don't end is loaded after
// its time to end them.
func TestLoadDoesNotWaitForLongRuns(t *testing.T) {
	f := newFleet(4, named)
	f.running["e00"] = 3
	assert.Less(t, f.serve(t, "2", time.Minute), 8*time.Second)
}

func TestLostOrdersAreGivenAgain(t *testing.T) {
	f := newFleet(4, named)
	f.lost = 3
	assert.Less(t, f.serve(t, "2", time.Minute), 8*time.Second)
}

// TestNoVersionIsGivenUp: operators named it, and their bound runs.
func TestNoVersionIsGivenUp(t *testing.T) {
	f := newFleet(3, named)
	for range 3 {
		f.step("2")
	}
	f.lost = 12
	f.serve(t, "2", time.Minute)
	assert.Zero(t, f.state.GivenUp())
}

func TestEnginesEmptyWhileOthersLoad(t *testing.T) {
	f := newFleet(8, named)
	for name := range f.version {
		f.running[name] = 1
	}
	took := f.serve(t, "2", time.Minute)
	assert.Less(t, took, 8*time.Second, "four rounds of a load, not of a load and the time to empty")
}
