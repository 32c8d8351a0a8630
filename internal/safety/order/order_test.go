package order_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/safety/order"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

var options = order.Options{
	MaxLoads: 2, LoadInterval: time.Second, LoadTimeout: 30 * time.Second, ReportDelay: 2 * time.Second, MaxAge: 5 * time.Second,
}

// simEngine simulates an engine; load is its actual state.
type simEngine struct {
	load        engine.LoadReport
	loadEnds    time.Time
	loadVersion string
	reports     []engine.LoadReport // reports of the last seconds, the oldest first
}

// site simulates the engines of a site and carries out the orders of a state.
type site struct {
	now     time.Time
	state   order.State
	engines map[string]*simEngine
	// refusedVersion is a version that all engines refuse to load.
	refusedVersion string
	loseNextReply  bool
	orders         []string
}

func newSite(count int, version string) *site {
	p := &site{now: time.Unix(1000, 0), state: order.New(options), engines: map[string]*simEngine{}}
	for i := range count {
		name := fmt.Sprintf("e%02d", i)
		p.engines[name] = &simEngine{load: engine.LoadReport{Engine: name, Incarnation: name + "-1", Model: "m", WeightVersion: version}}
	}
	p.want(version)
	return p
}

func (s *site) want(version string) {
	engines := map[string]order.Wanted{}
	for name := range s.engines {
		engines[name] = order.Wanted{Model: "m", WeightVersion: version, Adapters: map[string]string{"a": version}}
	}
	s.state, _ = s.state.Update(s.now, order.Configure{Engines: engines})
}

// step advances time by a second: due loads complete, reports from one second
// ago are delivered, and the state sends orders.
func (s *site) step() {
	s.now = s.now.Add(time.Second)
	for name, m := range s.engines {
		if m.load.Loading && !s.now.Before(m.loadEnds) {
			m.load.Loading, m.load.WeightVersion = false, m.loadVersion
		}
		m.reports = append(m.reports, m.load)
		if len(m.reports) > 2 {
			m.reports = m.reports[1:]
		}
		s.state, _ = s.state.Update(s.now, order.Reported{Engine: name, Load: m.reports[0]})
	}
	s.tick()
}

func (s *site) tick() {
	var commands []order.Command
	s.state, commands = s.state.Update(s.now, order.Tick{})
	for _, command := range commands {
		send := command.(order.Send)
		result := s.execute(send)
		if s.loseNextReply {
			s.loseNextReply, result = false, order.Unsure
		}
		s.state, _ = s.state.Update(s.now, order.Ended{ID: send.ID, Engine: send.Engine, Result: result})
	}
}

func (s *site) execute(send order.Send) order.Result {
	m := s.engines[send.Engine]
	s.orders = append(s.orders, fmt.Sprintf("%s %T", send.Engine, send.Order))
	switch o := send.Order.(type) {
	case engine.LoadModel:
		if o.WeightVersion == s.refusedVersion {
			return order.Refused
		}
		m.load.Loading, m.loadVersion, m.loadEnds = true, o.WeightVersion, s.now.Add(5*time.Second)
	case engine.LoadAdapter:
		m.load.Adapters = map[string]string{o.Adapter: o.Version}
	case engine.SetRole:
		m.load.Role = o.Role
	}
	return order.Accepted
}

func (s *site) count(match func(engine.LoadReport) bool) int {
	count := 0
	for _, m := range s.engines {
		if match(m.load) {
			count++
		}
	}
	return count
}

func serving(load engine.LoadReport) bool { return load.Role != order.RoleDrain && !load.Loading }
func drained(load engine.LoadReport) bool { return load.Role == order.RoleDrain }
func loading(load engine.LoadReport) bool { return load.Loading }

func (s *site) countServing(version string) int {
	return s.count(func(load engine.LoadReport) bool {
		return serving(load) && load.WeightVersion == version && load.Adapters["a"] == version
	})
}

func TestRollOut(t *testing.T) {
	for _, count := range []int{1, 2, 3, 9, 12} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			p := newSite(count, "1")
			for range 20 {
				p.step()
			}
			require.Equal(t, count, p.countServing("1"))
			p.want("2")
			for range 300 {
				p.step()
				require.LessOrEqual(t, p.count(loading), 2)
				require.LessOrEqual(t, p.count(drained), 2)
				require.GreaterOrEqual(t, p.count(serving), min(count-1, count*2/3))
			}
			assert.Equal(t, count, p.countServing("2"))
		})
	}
}

func TestFailedLoadRollsBack(t *testing.T) {
	p := newSite(9, "1")
	for range 20 {
		p.step()
	}
	p.refusedVersion = "2"
	p.want("2")
	for range 60 {
		p.step()
		require.GreaterOrEqual(t, p.count(serving), 6)
	}
	assert.Equal(t, 9, p.count(func(load engine.LoadReport) bool { return serving(load) && load.WeightVersion == "1" }))
	assert.Equal(t, 1, p.state.FailedVersions())
	before := len(p.orders)
	for range 60 {
		p.step()
	}
	assert.Len(t, p.orders, before, "a version that failed too often is not loaded again")
	p.refusedVersion = ""
	p.want("3")
	for range 300 {
		p.step()
	}
	assert.Equal(t, 9, p.countServing("3"))
}

// TestLoadsOfAnEarlierHolderCount starts with more drained engines than may
// load at once, as an earlier lease holder may leave them.
func TestLoadsOfAnEarlierHolderCount(t *testing.T) {
	p := newSite(9, "1")
	for _, name := range []string{"e00", "e01", "e02", "e03"} {
		p.engines[name].load.Role = order.RoleDrain
	}
	p.want("2")
	for range 100 {
		p.step()
		require.LessOrEqual(t, p.count(loading), 2)
	}
	assert.Equal(t, 9, p.countServing("2"))
}

func TestRules(t *testing.T) {
	tests := map[string]struct {
		change func(p *site)
		want   []string
	}{
		"nothing to do": {change: func(*site) {}},
		"no load on an engine with running requests": {change: func(p *site) {
			p.engines["e00"].load.Running = 1
			p.engines["e00"].load.Role = order.RoleDrain
			p.want("2")
		}, want: []string{"e01 engine.SetRole"}},
		"drained engine resumes": {change: func(p *site) { p.engines["e00"].load.Role = order.RoleDrain }, want: []string{"e00 engine.SetRole"}},
		"no drain when too few others serve": {change: func(p *site) {
			p.engines["e01"].load.Leaving, p.engines["e02"].load.Leaving = true, true
			p.want("2")
		}},
		"missing adapter is loaded": {change: func(p *site) { p.engines["e01"].load.Adapters = nil }, want: []string{"e01 engine.LoadAdapter"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newSite(6, "1")
			for range 20 {
				p.step()
			}
			test.change(p)
			p.orders = nil
			for _, m := range p.engines {
				m.reports = nil
			}
			p.step()
			assert.Equal(t, test.want, p.orders)
		})
	}
}

// TestAnyHistoryConverges crashes engines, replaces lease holders, loses replies
// and changes the configuration at random. The limit on concurrent loads must
// hold throughout, and all engines must serve the last wanted version at the end.
func TestAnyHistoryConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 8).Draw(t, "engines")
		p := newSite(count, "1")
		for range 20 {
			p.step()
		}
		for range rapid.IntRange(10, 60).Draw(t, "seconds") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				p.want(rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "version"))
			case 1:
				p.loseNextReply = true
			case 2:
				p.crash(t)
			case 3:
				p.replaceHolder()
			}
			p.step()
			if p.count(loading) > options.MaxLoads {
				t.Fatalf("%d loads at once", p.count(loading))
			}
		}
		p.want("9")
		for range 400 {
			p.step()
		}
		if p.countServing("9") != count {
			t.Fatalf("%d of %d engines serve the wanted version", p.countServing("9"), count)
		}
	})
}

func (s *site) crash(t *rapid.T) {
	name := fmt.Sprintf("e%02d", rapid.IntRange(0, len(s.engines)-1).Draw(t, "crashes"))
	m := s.engines[name]
	fresh := engine.LoadReport{Engine: name, Incarnation: m.load.Incarnation + "x", Model: "m", WeightVersion: "1"}
	s.engines[name] = &simEngine{load: fresh}
}

// replaceHolder replaces the state by an empty one, as when another node takes
// the lease, and waits until reports are more recent than the last order of the
// previous holder.
func (s *site) replaceHolder() {
	engines := map[string]order.Wanted{}
	version := "2"
	for name := range s.engines {
		engines[name] = order.Wanted{Model: "m", WeightVersion: version, Adapters: map[string]string{"a": version}}
	}
	s.state, _ = order.New(options).Update(s.now, order.Configure{Engines: engines})
	for range 3 {
		s.now = s.now.Add(time.Second)
		for name, m := range s.engines {
			if m.load.Loading && !s.now.Before(m.loadEnds) {
				m.load.Loading, m.load.WeightVersion = false, m.loadVersion
			}
			m.reports = []engine.LoadReport{m.load}
			s.state, _ = s.state.Update(s.now, order.Reported{Engine: name, Load: m.load})
		}
	}
}
