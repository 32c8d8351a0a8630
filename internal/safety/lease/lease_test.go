package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/safety/lease"
)

type step struct {
	after   time.Duration
	message lease.Message
}

// run applies messages and returns the state, the time and the last command.
func run(steps ...step) (lease.State, time.Time, string) {
	now := time.Unix(100, 0)
	state := lease.New("me", 10*time.Second)
	var commands []lease.Command
	for _, s := range steps {
		now = now.Add(s.after)
		state, commands = state.Update(now, s.message)
	}
	last := ""
	for _, command := range commands {
		last = fmt.Sprintf("%T", command)
		if write, ok := command.(lease.Write); ok {
			last = fmt.Sprintf("write fence %d beat %d if %d", write.Record.Fence, write.Record.Beat, write.IfVersion)
		}
	}
	return state, now, last
}

func TestUpdate(t *testing.T) {
	others := lease.Row{Version: 7, Record: lease.Record{Holder: "other", Fence: 3, TermMillis: 10_000}}
	mine := func(beat uint64) lease.Row {
		return lease.Row{Version: 9, Record: lease.Record{Holder: "me", Fence: 1, Beat: beat, TermMillis: 10_000}}
	}
	free := []step{{0, lease.Tick{}}, {0, lease.Row{}}}
	watched := []step{{0, lease.Tick{}}, {0, others}}
	tests := map[string]struct {
		steps []step
		want  string
		holds bool
	}{
		"missing row is taken":                                 {steps: free, want: "write fence 1 beat 1 if 0"},
		"lease is held after the write":                        {steps: append(free[:2:2], step{time.Second, lease.Written{}}), holds: true},
		"term starts when the write is sent":                   {steps: append(free[:2:2], step{10 * time.Second, lease.Written{}})},
		"row is read after a lost reply":                       {steps: append(free[:2:2], step{0, lease.Unsure{}}), want: "lease.Read"},
		"lease is held after reading own write":                {steps: append(free[:2:2], step{0, lease.Unsure{}}, step{0, mine(1)}), holds: true},
		"own earlier write is renewed":                         {steps: append(free[:2:2], step{0, lease.Unsure{}}, step{0, mine(0)}), want: "write fence 1 beat 2 if 9"},
		"other holder is not replaced":                         {steps: watched},
		"other holder is not replaced within the drift margin": {steps: append(watched[:2:2], step{10 * time.Second, lease.Tick{}}, step{0, others})},
		"silent holder is replaced":                            {steps: append(watched[:2:2], step{11 * time.Second, lease.Tick{}}, step{0, others}), want: "write fence 8 beat 1 if 7"},
		"renewing holder is not replaced":                      {steps: append(watched[:2:2], step{11 * time.Second, lease.Tick{}}, step{0, lease.Row{Version: 8, Record: others.Record}})},
		"released row is taken":                                {steps: []step{{0, lease.Tick{}}, {0, lease.Row{Version: 9}}}, want: "write fence 10 beat 1 if 9"},
		"renewal keeps the fencing token":                      {steps: append(free[:2:2], step{0, lease.Written{}}, step{3 * time.Second, lease.Tick{}}, step{0, mine(1)}), want: "write fence 1 beat 2 if 9", holds: true},
		"replaced holder loses its grant":                      {steps: append(free[:2:2], step{0, lease.Written{}}, step{3 * time.Second, lease.Tick{}}, step{0, others})},
		"lease is held while the table is down":                {steps: append(free[:2:2], step{0, lease.Written{}}, step{3 * time.Second, lease.Tick{}}, step{0, lease.Unavailable{}}), holds: true},
		"term ends while the table is down":                    {steps: append(free[:2:2], step{0, lease.Written{}}, step{3 * time.Second, lease.Tick{}}, step{7 * time.Second, lease.Unavailable{}})},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state, now, last := run(test.steps...)
			assert.Equal(t, test.want, last)
			assert.Equal(t, test.holds, state.Grant().Covers(now, 0))
		})
	}
}

func ExampleGrant_Covers() {
	grant := lease.Grant{Fence: 7, Since: time.Unix(100, 0), Term: 10 * time.Second}
	fmt.Println(grant.Covers(time.Unix(104, 0), 5*time.Second))
	fmt.Println(grant.Covers(time.Unix(105, 0), 5*time.Second))
	// Output:
	// true
	// false
}
