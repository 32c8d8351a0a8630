package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/safety/lease"
)

const leaveTerm = 2 * time.Second

// held returns a state that has held the lease since start.
func held(t *testing.T, start time.Time) lease.State {
	t.Helper()
	state := lease.NewOnHost("host-1", "a", leaveTerm)
	for _, m := range []lease.Message{lease.Tick{}, lease.Row{}, lease.Written{}} {
		state, _ = state.Update(start, m)
	}
	require.True(t, state.Grant().Covers(start, 0))
	return state
}

func TestLeaveGivesTheLeaseUp(t *testing.T) {
	start := time.Unix(100, 0)
	state := held(t, start)
	now := start.Add(time.Second)
	state, commands := state.Update(now, lease.Release{LastAct: start.Add(400 * time.Millisecond)})
	assert.False(t, state.Grant().Covers(now, 0), "the lease isn't held any more")
	require.Equal(t, []lease.Command{lease.Read{}}, commands)
	mine := lease.Record{Holder: "host-1/a", Fence: 1, Beat: 1, TermMillis: 2000}
	state, commands = state.Update(now, lease.Row{Version: 5, Record: mine})
	require.Len(t, commands, 1)
	write := commands[0].(lease.Write)
	assert.Empty(t, write.Record.Holder)
	assert.Equal(t, int64(600), write.Record.QuietMillis)
	assert.Equal(t, uint64(5), write.IfVersion)
	state, _ = state.Update(now, lease.Written{})
	_, commands = state.Update(now.Add(time.Hour), lease.Tick{})
	assert.Empty(t, commands, "a process that stops does not compete again")

	next := lease.NewOnHost("host-2", "b", leaveTerm)
	next, _ = next.Update(now, lease.Tick{})
	next, _ = next.Update(now, lease.Row{Version: 6, Record: write.Record})
	next, _ = next.Update(now, lease.Written{})
	assert.True(t, next.Grant().Covers(now, 0), "taken over without a wait")
	assert.Equal(t, 600*time.Millisecond, next.Grant().SinceLastAct)
	assert.Greater(t, next.Grant().Fence, mine.Fence)
}

func TestLeaveOfAnotherHoldersRowWritesNothing(t *testing.T) {
	start := time.Unix(100, 0)
	state := held(t, start)
	state, _ = state.Update(start, lease.Release{})
	_, commands := state.Update(start, lease.Row{Version: 9, Record: lease.Record{Holder: "host-2/b"}})
	assert.Empty(t, commands)
}

func TestTakingOver(t *testing.T) {
	tests := map[string]struct {
		row   lease.Row
		wait  time.Duration
		quiet time.Duration
	}{
		"no earlier holder":                    {lease.Row{}, 0, time.Hour},
		"earlier start on this host":           {lease.Row{Version: 7, Record: lease.Record{Holder: "host-1/old", TermMillis: 2000}}, 0, time.Hour},
		"expired holder on another host":       {lease.Row{Version: 7, Record: lease.Record{Holder: "host-2/x", TermMillis: 2000}}, 2200 * time.Millisecond, 200 * time.Millisecond},
		"host name with the same prefix":       {lease.Row{Version: 7, Record: lease.Record{Holder: "host-11/x", TermMillis: 2000}}, 2200 * time.Millisecond, 200 * time.Millisecond},
		"released a second after the last act": {lease.Row{Version: 7, Record: lease.Record{QuietMillis: 1000}}, 0, time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(100, 0)
			state := lease.NewOnHost("host-1", "new", leaveTerm)
			state, _ = state.Update(now, lease.Tick{})
			state, commands := state.Update(now, test.row)
			if test.wait > 0 {
				assert.Empty(t, commands)
				now = now.Add(test.wait)
				state, _ = state.Update(now, lease.Tick{})
				state, commands = state.Update(now, test.row)
			}
			require.IsType(t, lease.Write{}, commands[0])
			state, _ = state.Update(now, lease.Written{})
			assert.True(t, state.Grant().Covers(now, 0))
			assert.Equal(t, test.quiet, state.Grant().SinceLastAct)
		})
	}
}
