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

// fleet simulates engines that take a second to load, in virtual time.
type fleet struct {
	state       order.State
	now         time.Time
	version     map[string]string
	loadEnds    map[string]time.Time
	loadVersion map[string]string
	drained     map[string]bool
	running     map[string]int
	// ordersToLose is how many more load orders are dropped; their result is
	// [order.Unsure].
	ordersToLose int
	// peakLoads is the highest number of concurrent loads so far.
	peakLoads int
}

const loadTime = time.Second

func newFleet(n int, options order.Options) *fleet {
	f := &fleet{
		state: order.New(options), now: time.Unix(1000, 0), version: map[string]string{}, loadEnds: map[string]time.Time{},
		loadVersion: map[string]string{}, drained: map[string]bool{}, running: map[string]int{},
	}
	for i := range n {
		f.version[fmt.Sprintf("e%02d", i)] = "1"
	}
	return f
}

var fleetOptions = order.Options{
	MaxLoads: 2, EnginesPerLoad: 5, LoadTimeout: 10 * time.Second, ReportDelay: 200 * time.Millisecond, MaxAge: time.Second,
	DrainTimeout: 500 * time.Millisecond, RetryForever: true,
}

// step advances time by 100 ms with this wanted version.
func (f *fleet) step(want string) {
	f.now = f.now.Add(100 * time.Millisecond)
	wanted := map[string]order.Wanted{}
	for name := range f.version {
		wanted[name] = order.Wanted{Model: "m", WeightVersion: want}
	}
	f.state, _ = f.state.Update(f.now, order.Configure{Engines: wanted})
	for name, until := range f.loadEnds {
		if !f.now.Before(until) {
			f.version[name] = f.loadVersion[name]
			delete(f.loadEnds, name)
		}
	}
	for name, version := range f.version {
		load := engine.LoadReport{Incarnation: "1", Model: "m", WeightVersion: version, Role: order.RoleServe, Running: f.running[name]}
		_, load.Loading = f.loadEnds[name]
		if f.drained[name] {
			load.Role = order.RoleDrain
		}
		f.state, _ = f.state.Update(f.now, order.Reported{Engine: name, Load: load})
	}
	var commands []order.Command
	f.state, commands = f.state.Update(f.now, order.Tick{})
	for _, command := range commands {
		f.execute(command.(order.Send))
	}
	f.peakLoads = max(f.peakLoads, len(f.loadEnds))
}

func (f *fleet) execute(s order.Send) {
	result := order.Accepted
	switch o := s.Order.(type) {
	case engine.SetRole:
		f.drained[s.Engine] = o.Role == order.RoleDrain
	case engine.LoadModel:
		if f.ordersToLose > 0 {
			f.ordersToLose--
			result = order.Unsure
			break
		}
		f.loadVersion[s.Engine], f.loadEnds[s.Engine] = o.WeightVersion, f.now.Add(loadTime)
	}
	f.state, _ = f.state.Update(f.now, order.Ended{ID: s.ID, Engine: s.Engine, Result: result})
}

// stepUntilServed steps until all engines serve a version and returns how long
// that took.
func (f *fleet) stepUntilServed(t *testing.T, want string, limit time.Duration) time.Duration {
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
	for engines, wantPeak := range map[int]int{4: 2, 9: 2, 20: 4, 140: 28} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			f := newFleet(engines, fleetOptions)
			f.stepUntilServed(t, "2", time.Minute)
			assert.Equal(t, wantPeak, f.peakLoads)
		})
	}
}

// TestNoEngineIsLeftBehind changes the wanted version faster than all engines
// can load it. No engine may be more than one version behind for much longer
// than one round of loads takes.
func TestNoEngineIsLeftBehind(t *testing.T) {
	f := newFleet(9, fleetOptions)
	lastRecent := map[string]int{}
	longestBehind := 0
	for step := range 400 {
		f.step(fmt.Sprint(2 + step/40))
		for _, name := range f.names() {
			if f.version[name] == fmt.Sprint(1+step/40) || f.version[name] == fmt.Sprint(2+step/40) {
				lastRecent[name] = step
			}
			longestBehind = max(longestBehind, step-lastRecent[name])
		}
	}
	assert.Less(t, longestBehind, 80, "in tenths of a second")
}

// TestLoadDoesNotWaitForLongRuns checks that an engine whose requests never
// finish is loaded after the drain time.
func TestLoadDoesNotWaitForLongRuns(t *testing.T) {
	f := newFleet(4, fleetOptions)
	f.running["e00"] = 3
	assert.Less(t, f.stepUntilServed(t, "2", time.Minute), 8*time.Second)
}

func TestLostOrdersAreGivenAgain(t *testing.T) {
	f := newFleet(4, fleetOptions)
	f.ordersToLose = 3
	assert.Less(t, f.stepUntilServed(t, "2", time.Minute), 8*time.Second)
}

// TestNoVersionIsGivenUp loses more load orders than the failure limit. With
// RetryForever the version is retried: operators chose it, and their deadline is
// running.
func TestNoVersionIsGivenUp(t *testing.T) {
	f := newFleet(3, fleetOptions)
	for range 3 {
		f.step("2")
	}
	f.ordersToLose = 12
	f.stepUntilServed(t, "2", time.Minute)
	assert.Zero(t, f.state.FailedVersions())
}

func TestEnginesDrainWhileOthersLoad(t *testing.T) {
	f := newFleet(8, fleetOptions)
	for name := range f.version {
		f.running[name] = 1
	}
	took := f.stepUntilServed(t, "2", time.Minute)
	assert.Less(t, took, 8*time.Second, "four rounds of load time, without drain time added to each")
}
