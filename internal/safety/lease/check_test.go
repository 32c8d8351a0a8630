package lease_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/tool/walk"
)

var deep = flag.Bool("deep", false, "visit the larger bounds of the model check too")

// TestEveryOrder visits every order of steps of two nodes, either of which may
// be paused at any step, with lost and failed table operations.
func TestEveryOrder(t *testing.T) {
	tests := map[string]struct {
		fences, deep bool
		last, faults int
	}{
		"engine ignores fencing numbers":            {last: 3},
		"engine checks fencing numbers":             {last: 3, fences: true},
		"engine ignores fencing numbers, longer":    {last: 5, deep: true},
		"engine checks fencing numbers, longer":     {last: 4, fences: true, deep: true},
		"engine ignores fencing numbers, one fault": {last: 4, faults: 1, deep: true},
	}
	for name, test := range tests {
		if test.deep && !*deep {
			continue
		}
		t.Run(name, func(t *testing.T) {
			report, err := walk.All(start(none, test.fences, test.last, test.faults), world.next, world.check)
			require.NoError(t, err)
			t.Logf("lease: %d states, %d steps, depth %d", report.States, report.Steps, report.Depth)
			assert.Greater(t, report.States, 10_000)
		})
	}
}

func TestCheckCatchesPlantedFaults(t *testing.T) {
	tests := map[string]struct {
		fault planted
		want  string
	}{
		"lease checked before the wait":         {fault: checkedBeforeTheWait, want: "obeyed an old holder"},
		"term counted from the reply":           {fault: countedFromTheReply, want: "two nodes"},
		"write without condition":               {fault: writeWithoutCondition, want: "two nodes"},
		"version taken from an older reply":     {fault: oldVersionWatched, want: "two nodes"},
		"order's deadline outside the lease":    {fault: deadlineOutsideTheLease, want: "obeyed an old holder"},
		"order without a deadline and no fence": {fault: orderHeldForEver, want: "obeyed an old holder"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := walk.All(start(test.fault, false, 3, 0), world.next, world.check)
			var broken *walk.BrokenError
			require.ErrorAs(t, err, &broken)
			assert.Contains(t, broken.Cause.Error(), test.want)
		})
	}
}
