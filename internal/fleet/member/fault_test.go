package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/fleet/member"
	"github.com/cicadamill/cicadamill/internal/peer/note"
)

const convergenceBound = 30 * time.Second

// faults are the test cases. Each starts with eight nodes that know each
// other.
var faults = map[string]func(t *testing.T, c *simulation){
	"a crash is noticed by all": func(t *testing.T, c *simulation) {
		c.nodes[name(3)].down = true
		c.advance(20 * time.Second)
		assert.True(t, c.allSee(name(3), note.Dead))
		assert.Equal(t, note.Alive, c.sees(name(0), name(4)))
	},
	"a link that fails one way raises no suspicion": func(t *testing.T, c *simulation) {
		c.blocked = func(from, to string) bool { return from == name(1) && to == name(2) }
		c.advance(time.Minute)
		assert.Zero(t, c.counts[member.CountSuspected])
		assert.Positive(t, c.counts[member.CountVouched])
	},
	"a node that one other reaches stays": func(t *testing.T, c *simulation) {
		c.blocked = func(from, to string) bool { return to == name(2) && from != name(0) }
		c.advance(2 * time.Minute)
		assert.Zero(t, c.counts[member.CountDead])
		assert.NotEqual(t, note.Dead, c.sees(name(5), name(2)))
	},
	"a flapping link costs no node": func(t *testing.T, c *simulation) {
		c.blocked = func(from, to string) bool { return (from == name(2) || to == name(2)) && c.now.Unix()/4%2 == 0 }
		c.advance(2 * time.Minute)
		assert.Zero(t, c.counts[member.CountDead])
	},
	"lost, late, repeated and reordered notes": func(t *testing.T, c *simulation) {
		c.blocked = func(string, string) bool { return c.random.IntN(5) == 0 }
		c.latency = func() time.Duration { return time.Duration(c.random.IntN(400)) * time.Millisecond }
		c.duplicate = func() bool { return c.random.IntN(4) == 0 }
		c.advance(2 * time.Minute)
		assert.Zero(t, c.counts[member.CountDead])
	},
	"a paused node resumes": func(t *testing.T, c *simulation) {
		c.nodes[name(4)].paused = true
		c.advance(30 * time.Second)
		require.True(t, c.allSee(name(4), note.Dead))
		deaths := c.counts[member.CountDead]
		c.nodes[name(4)].paused = false
		c.awaitConvergence(t, convergenceBound)
		assert.Equal(t, deaths, c.counts[member.CountDead], "the paused node declared others dead after its own pause")
		assert.Positive(t, c.counts[member.CountStalled])
	},
	"a restart is a new incarnation": func(t *testing.T, c *simulation) {
		c.nodes[name(3)].down = true
		c.advance(20 * time.Second)
		c.boot(3)
		c.awaitConvergence(t, convergenceBound)
	},
	"a restart with a clock that went back": func(t *testing.T, c *simulation) {
		c.nodes[name(3)].down = true
		c.advance(2 * time.Second)
		c.now = c.now.Add(-time.Hour)
		c.boot(3)
		c.now = c.now.Add(time.Hour)
		c.awaitConvergence(t, convergenceBound)
	},
	"two halves go on and find each other again": func(t *testing.T, c *simulation) {
		half := func(who string) bool { return who < name(4) }
		c.blocked = func(from, to string) bool { return half(from) != half(to) }
		c.advance(time.Minute)
		assert.Equal(t, note.Alive, c.sees(name(0), name(3)))
		assert.Equal(t, note.Alive, c.sees(name(4), name(7)))
		assert.Equal(t, note.Dead, c.sees(name(0), name(7)))
		c.blocked = func(string, string) bool { return false }
		c.awaitConvergence(t, convergenceBound)
	},
	"a list that lags removes nobody": func(t *testing.T, c *simulation) {
		c.update(name(0), member.HostList{Nodes: hosts(2)})
		c.advance(20 * time.Second)
		assert.Equal(t, note.Alive, c.sees(name(0), name(7)))
	},
	"a list that lags brings nobody back": func(t *testing.T, c *simulation) {
		c.nodes[name(3)].down = true
		for range 35 {
			c.advance(20 * time.Second)
			c.update(name(0), member.HostList{Nodes: hosts(8)})
		}
		assert.Equal(t, note.Dead, c.sees(name(0), name(3)))
	},
	"a leaving node is known to all and stays so": func(t *testing.T, c *simulation) {
		c.update(name(3), member.Leave{})
		c.advance(3 * time.Second)
		assert.True(t, c.allSee(name(3), note.Leaving))
		c.blocked = func(_, to string) bool { return to == name(3) }
		c.advance(3 * time.Second)
		c.blocked = func(string, string) bool { return false }
		c.advance(20 * time.Second)
		assert.True(t, c.allSee(name(3), note.Leaving))
		c.nodes[name(3)].down = true
		c.advance(30 * time.Second)
		assert.True(t, c.allSee(name(3), note.Dead))
	},
	"a false death report meets those who know better": func(t *testing.T, c *simulation) {
		e := c.nodes[name(3)].state.Nodes()[0].Entry
		e.State = note.Dead
		from := c.nodes[name(1)].state.Nodes()[0].Entry
		c.update(name(0), member.Received{Note: note.Note{From: c.nodes[name(3)].state.Nodes()[0].Entry}})
		c.update(name(0), member.Received{Note: note.Note{From: from, Entries: []note.Entry{e}}})
		assert.Equal(t, note.Alive, c.sees(name(0), name(3)))
		c.advance(time.Second)
		assert.Positive(t, c.counts[member.CountRefuted])
		c.awaitConvergence(t, convergenceBound)
	},
}

func TestFaults(t *testing.T) {
	for title, test := range faults {
		t.Run(title, func(t *testing.T) {
			for seed := range uint64(4) {
				c := newSimulation(8, seed+1, true)
				c.awaitConvergence(t, convergenceBound)
				c.counts = map[string]int{}
				test(t, c)
			}
		})
	}
}

func TestNodesFindEachOtherFromTheSettingsAlone(t *testing.T) {
	c := newSimulation(60, 1, false)
	t.Log("60 nodes know each other after", c.awaitConvergence(t, 2*time.Minute))
}

// TestPauseExcusesSuspects guards against a paused process that declares
// suspects dead when it resumes, although their refutations could not arrive.
func TestPauseExcusesSuspects(t *testing.T) {
	state := member.New(member.Options{Name: "a", Incarnation: 1})
	now := time.Unix(0, 0)
	feed := func(m member.Message) { state, _ = state.Update(now, m) }
	feed(member.Received{Note: note.Note{From: note.Entry{Name: "c", Address: "c", Incarnation: 1, State: note.Alive},
		Entries: []note.Entry{{Name: "b", Address: "b", Incarnation: 1, State: note.Suspect, ReportedBy: "c"}}}})
	feed(member.Tick{})
	now = now.Add(time.Minute)
	feed(member.Tick{})
	assert.Equal(t, note.Suspect, state.Nodes()[1].State)
	for range 40 {
		now = now.Add(member.TickInterval)
		feed(member.Tick{})
	}
	assert.Equal(t, note.Dead, state.Nodes()[1].State)
}

// TestContactRenewsPatience guards against declaring a suspect dead right
// after it made contact, before it could refute.
func TestContactRenewsPatience(t *testing.T) {
	state := member.New(member.Options{Name: "a", Incarnation: 1})
	now := time.Unix(0, 0)
	b := note.Entry{Name: "b", Address: "b", Incarnation: 1, State: note.Alive}
	suspect := b
	suspect.State, suspect.ReportedBy = note.Suspect, "c"
	feed := func(m member.Message) { state, _ = state.Update(now, m) }
	feed(member.Received{Note: note.Note{From: note.Entry{Name: "c", Address: "c", Incarnation: 1, State: note.Alive}, Entries: []note.Entry{suspect}}})
	for i := range 25 {
		feed(member.Tick{})
		now = now.Add(member.TickInterval)
		if i == 10 {
			feed(member.Received{Note: note.Note{From: b}})
		}
	}
	assert.Equal(t, note.Suspect, state.Nodes()[1].State)
}

// TestUpdatesReachAllNodes checks that marks of targets, crashes and versions
// reach every node within five seconds.
func TestUpdatesReachAllNodes(t *testing.T) {
	for _, count := range []int{8, 60} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			c := newSimulation(count, 1, true)
			c.awaitConvergence(t, time.Minute)
			c.update(name(1), member.MarkTarget{Target: "engine-1", Incarnation: "a"})
			c.update(name(1), member.CrashRecorded{Crash: note.Crash{Fingerprint: 7, Count: 2}})
			c.update(name(1), member.ConfigApplied{Version: 9})
			c.advance(5 * time.Second)
			for who, n := range c.nodes {
				assert.True(t, n.state.TargetLeaving("engine-1", "a"), who)
				assert.EqualValues(t, 9, n.state.Nodes()[0].Version, who)
				if who != name(1) {
					assert.Contains(t, n.others, member.TargetLeaving{Mark: note.Mark{Target: "engine-1", Incarnation: "a"}})
					assert.True(t, receivedCrash(n), who)
				}
			}
		})
	}
}

func receivedCrash(n *node) bool {
	for _, command := range n.others {
		if heard, ok := command.(member.CrashReceived); ok && heard.Crash.Fingerprint == 7 {
			return true
		}
	}
	return false
}

// TestMarkReachesNodeThatWasAway checks that repair delivers a mark to a node
// that was paused until the mark was no longer disseminated.
func TestMarkReachesNodeThatWasAway(t *testing.T) {
	c := newSimulation(8, 1, true)
	c.awaitConvergence(t, convergenceBound)
	c.nodes[name(5)].paused = true
	c.update(name(1), member.MarkTarget{Target: "engine-1", Incarnation: "a"})
	c.advance(5 * time.Minute)
	c.nodes[name(5)].paused = false
	c.advance(20 * time.Second)
	assert.True(t, c.nodes[name(5)].state.TargetLeaving("engine-1", "a"))
}
