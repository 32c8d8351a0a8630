package member_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/fleet/member"
	"github.com/cicadamill/cicadamill/internal/peer/note"
)

// TestNoFalseDeathLasts has nodes crash, restart, pause and lose links in any
// order. After that, all must see each other as alive again within a minute,
// and no mark of a leaving target may be lost.
func TestNoFalseDeathLasts(t *testing.T) {
	const count = 6
	rapid.Check(t, func(r *rapid.T) {
		c := newSimulation(count, rapid.Uint64().Draw(r, "seed"), rapid.Bool().Draw(r, "listed"))
		cuts := map[[2]string]bool{}
		c.blocked = func(from, to string) bool { return cuts[[2]string{from, to}] }
		c.advance(5 * time.Second)
		c.update(name(0), member.MarkTarget{Target: "e", Incarnation: "1"})
		for range rapid.IntRange(1, 12).Draw(r, "steps") {
			injectFault(r, c, count, cuts)
			c.advance(time.Duration(rapid.IntRange(0, 8000).Draw(r, "millis")) * time.Millisecond)
		}
		clear(cuts)
		for i := range count {
			c.nodes[name(i)].paused = false
			if c.nodes[name(i)].down {
				c.boot(i)
			}
		}
		c.advance(time.Minute)
		if !c.converged() {
			r.Fatal("the views did not converge within a minute of quiet")
		}
		for who, n := range c.nodes {
			if !n.state.TargetLeaving("e", "1") {
				r.Fatalf("%s lost a mark", who)
			}
		}
	})
}

// injectFault applies one random fault or repair.
func injectFault(r *rapid.T, c *simulation, count int, cuts map[[2]string]bool) {
	i := rapid.IntRange(1, count-1).Draw(r, "node")
	n := c.nodes[name(i)]
	switch rapid.SampledFrom([]string{"crash", "start", "pause", "resume", "cut", "mend"}).Draw(r, "step") {
	case "crash":
		n.down = true
	case "start":
		if n.down {
			c.boot(i)
		}
	case "pause":
		n.paused = true
	case "resume":
		n.paused = false
	case "cut":
		cuts[[2]string{name(i), name(rapid.IntRange(0, count-1).Draw(r, "to"))}] = true
	case "mend":
		clear(cuts)
	}
}

// TestStateIsBounded feeds more members, marks and crashes than the limits
// allow.
func TestStateIsBounded(t *testing.T) {
	state := member.New(member.Options{Name: "a", Incarnation: 1})
	now := time.Unix(0, 0)
	from := note.Entry{Name: "b", Address: "b", Incarnation: 1, State: note.Alive}
	for i := range 2500 {
		state, _ = state.Update(now, member.Received{Note: note.Note{
			From:    from,
			Entries: []note.Entry{{Name: fmt.Sprint("n", i), Address: "x", Incarnation: 1, State: note.Alive}},
			Marks:   []note.Mark{{Target: fmt.Sprint("t", i), Incarnation: "1"}},
			Crashes: []note.Crash{{Fingerprint: uint64(i), Count: 1}},
		}})
	}
	const maxMembers = 2048
	require.LessOrEqual(t, len(state.Nodes()), maxMembers+1)
	var commands []member.Command
	_, commands = state.Update(now, member.Received{Note: note.Note{From: from}})
	for _, command := range commands {
		if reply, ok := command.(member.Reply); ok {
			require.LessOrEqual(t, len(reply.Note.Entries)+len(reply.Note.Repair), 16)
			require.LessOrEqual(t, len(reply.Note.Marks), 8)
			require.LessOrEqual(t, len(reply.Note.Crashes), 4)
		}
	}
}
