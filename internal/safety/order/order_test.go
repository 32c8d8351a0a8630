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
	MaxLoads: 2, LoadInterval: time.Second, LoadTimeout: 30 * time.Second, Settle: 2 * time.Second, MaxAge: 5 * time.Second,
}

// machine is an engine as it really is.
type machine struct {
	load     engine.Load
	loadEnds time.Time
	next     string
	past     []engine.Load // reports of the last seconds, the oldest first
}

// plant is a site of machines that a state gives orders to.
type plant struct {
	now      time.Time
	state    order.State
	machines map[string]*machine
	// bad is a version that engines refuse to load.
	bad      string
	loseNext bool
	orders   []string
}

func newPlant(count int, version string) *plant {
	p := &plant{now: time.Unix(1000, 0), state: order.New(options), machines: map[string]*machine{}}
	for i := range count {
		name := fmt.Sprintf("e%02d", i)
		p.machines[name] = &machine{load: engine.Load{Engine: name, Incarnation: name + "-1", Model: "m", WeightVersion: version}}
	}
	p.want(version)
	return p
}

func (p *plant) want(version string) {
	engines := map[string]order.Wanted{}
	for name := range p.machines {
		engines[name] = order.Wanted{Model: "m", WeightVersion: version, Adapters: map[string]string{"a": version}}
	}
	p.state, _ = p.state.Update(p.now, order.Want{Engines: engines})
}

// second lets a second pass: loads end, reports of a second ago arrive, and the
// state decides.
func (p *plant) second() {
	p.now = p.now.Add(time.Second)
	for name, m := range p.machines {
		if m.load.Loading && !p.now.Before(m.loadEnds) {
			m.load.Loading, m.load.WeightVersion = false, m.next
		}
		m.past = append(m.past, m.load)
		if len(m.past) > 2 {
			m.past = m.past[1:]
		}
		p.state, _ = p.state.Update(p.now, order.Seen{Engine: name, Load: m.past[0]})
	}
	p.tick()
}

func (p *plant) tick() {
	var commands []order.Command
	p.state, commands = p.state.Update(p.now, order.Tick{})
	for _, command := range commands {
		send := command.(order.Send)
		result := p.obey(send)
		if p.loseNext {
			p.loseNext, result = false, order.Unsure
		}
		p.state, _ = p.state.Update(p.now, order.Ended{ID: send.ID, Engine: send.Engine, Result: result})
	}
}

func (p *plant) obey(send order.Send) order.Result {
	m := p.machines[send.Engine]
	p.orders = append(p.orders, fmt.Sprintf("%s %T", send.Engine, send.Order))
	switch o := send.Order.(type) {
	case engine.LoadModel:
		if o.WeightVersion == p.bad {
			return order.Refused
		}
		m.load.Loading, m.next, m.loadEnds = true, o.WeightVersion, p.now.Add(5*time.Second)
	case engine.LoadAdapter:
		m.load.Adapters = map[string]string{o.Adapter: o.Version}
	case engine.SetRole:
		m.load.Role = o.Role
	}
	return order.Obeyed
}

func (p *plant) count(of func(engine.Load) bool) int {
	count := 0
	for _, m := range p.machines {
		if of(m.load) {
			count++
		}
	}
	return count
}

func serving(load engine.Load) bool { return load.Role != order.RoleDrain && !load.Loading }
func drained(load engine.Load) bool { return load.Role == order.RoleDrain }
func loading(load engine.Load) bool { return load.Loading }

func (p *plant) at(version string) int {
	return p.count(func(load engine.Load) bool {
		return serving(load) && load.WeightVersion == version && load.Adapters["a"] == version
	})
}

func TestRollOut(t *testing.T) {
	for _, count := range []int{1, 2, 3, 9, 12} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			p := newPlant(count, "1")
			for range 20 {
				p.second()
			}
			require.Equal(t, count, p.at("1"))
			p.want("2")
			for range 300 {
				p.second()
				require.LessOrEqual(t, p.count(loading), 2)
				require.LessOrEqual(t, p.count(drained), 2)
				require.GreaterOrEqual(t, p.count(serving), min(count-1, count*2/3))
			}
			assert.Equal(t, count, p.at("2"))
		})
	}
}

func TestFailedLoadRollsBack(t *testing.T) {
	p := newPlant(9, "1")
	for range 20 {
		p.second()
	}
	p.bad = "2"
	p.want("2")
	for range 60 {
		p.second()
		require.GreaterOrEqual(t, p.count(serving), 6)
	}
	assert.Equal(t, 9, p.count(func(load engine.Load) bool { return serving(load) && load.WeightVersion == "1" }))
	assert.Equal(t, 1, p.state.GivenUp())
	before := len(p.orders)
	for range 60 {
		p.second()
	}
	assert.Len(t, p.orders, before, "a version that was given up is not tried again")
	p.bad = ""
	p.want("3")
	for range 300 {
		p.second()
	}
	assert.Equal(t, 9, p.at("3"))
}

// TestLoadsOfAnEarlierHolderCount starts with more engines out of work than may
// load at once.
func TestLoadsOfAnEarlierHolderCount(t *testing.T) {
	p := newPlant(9, "1")
	for _, name := range []string{"e00", "e01", "e02", "e03"} {
		p.machines[name].load.Role = order.RoleDrain
	}
	p.want("2")
	for range 100 {
		p.second()
		require.LessOrEqual(t, p.count(loading), 2)
	}
	assert.Equal(t, 9, p.at("2"))
}

func TestRules(t *testing.T) {
	tests := map[string]struct {
		change func(p *plant)
		want   []string
	}{
		"nothing to do": {change: func(*plant) {}},
		"busy engine is not cut": {change: func(p *plant) {
			p.machines["e00"].load.Running = 1
			p.machines["e00"].load.Role = order.RoleDrain
			p.want("2")
		}, want: []string{"e01 engine.SetRole"}},
		"drained engine goes back": {change: func(p *plant) { p.machines["e00"].load.Role = order.RoleDrain }, want: []string{"e00 engine.SetRole"}},
		"too few others serve": {change: func(p *plant) {
			p.machines["e01"].load.Leaving, p.machines["e02"].load.Leaving = true, true
			p.want("2")
		}},
		"lost adapter is loaded": {change: func(p *plant) { p.machines["e01"].load.Adapters = nil }, want: []string{"e01 engine.LoadAdapter"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlant(6, "1")
			for range 20 {
				p.second()
			}
			test.change(p)
			p.orders = nil
			for _, m := range p.machines {
				m.past = nil
			}
			p.second()
			assert.Equal(t, test.want, p.orders)
		})
	}
}

// TestAnyHistoryConverges crashes engines and holders, loses replies and changes
// the configuration at random; the bounds hold all the time and the site comes
// to rest where it should.
func TestAnyHistoryConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 8).Draw(t, "engines")
		p := newPlant(count, "1")
		for range 20 {
			p.second()
		}
		for range rapid.IntRange(10, 60).Draw(t, "seconds") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				p.want(rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "version"))
			case 1:
				p.loseNext = true
			case 2:
				p.crash(t)
			case 3:
				p.newHolder()
			}
			p.second()
			if p.count(loading) > options.MaxLoads {
				t.Fatalf("%d loads at once", p.count(loading))
			}
		}
		p.want("9")
		for range 400 {
			p.second()
		}
		if p.at("9") != count {
			t.Fatalf("%d of %d engines came to serve", p.at("9"), count)
		}
	})
}

func (p *plant) crash(t *rapid.T) {
	name := fmt.Sprintf("e%02d", rapid.IntRange(0, len(p.machines)-1).Draw(t, "crashes"))
	m := p.machines[name]
	fresh := engine.Load{Engine: name, Incarnation: m.load.Incarnation + "x", Model: "m", WeightVersion: "1"}
	p.machines[name] = &machine{load: fresh}
}

// newHolder forgets everything, as a holder on another node does, and waits
// until reports are younger than the last order of the one before.
func (p *plant) newHolder() {
	engines := map[string]order.Wanted{}
	version := "2"
	for name := range p.machines {
		engines[name] = order.Wanted{Model: "m", WeightVersion: version, Adapters: map[string]string{"a": version}}
	}
	p.state, _ = order.New(options).Update(p.now, order.Want{Engines: engines})
	for range 3 {
		p.now = p.now.Add(time.Second)
		for name, m := range p.machines {
			if m.load.Loading && !p.now.Before(m.loadEnds) {
				m.load.Loading, m.load.WeightVersion = false, m.next
			}
			m.past = []engine.Load{m.load}
			p.state, _ = p.state.Update(p.now, order.Seen{Engine: name, Load: m.load})
		}
	}
}
