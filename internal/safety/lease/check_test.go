package lease_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/tool/walk"
)

var deep = flag.Bool("deep", false, "also run the model checks with larger bounds")

// TestEveryOrder checks every interleaving of two nodes, either of which may be
// paused at any step, with lost and failed table operations.
func TestEveryOrder(t *testing.T) {
	tests := map[string]struct {
		fences, deep bool
		last, faults int
	}{
		"engine ignores fencing tokens":            {last: 3},
		"engine checks fencing tokens":             {last: 3, fences: true},
		"engine ignores fencing tokens, longer":    {last: 5, deep: true},
		"engine checks fencing tokens, longer":     {last: 4, fences: true, deep: true},
		"engine ignores fencing tokens, one fault": {last: 4, faults: 1, deep: true},
	}
	for name, test := range tests {
		if test.deep && !*deep {
			continue
		}
		t.Run(name, func(t *testing.T) {
			report, err := walk.All(start(noFault, test.fences, test.last, test.faults), world.next, world.check)
			require.NoError(t, err)
			t.Logf("lease: %d states, %d steps, depth %d", report.States, report.Steps, report.Depth)
			assert.Greater(t, report.States, 10_000)
		})
	}
}

// TestCheckCatchesPlantedFaults injects one fault at a time into the model and
// requires the model check to report it.
func TestCheckCatchesPlantedFaults(t *testing.T) {
	tests := map[string]struct {
		fault injectedFault
		want  string
	}{
		"lease checked before a delay":             {fault: checkedBeforeWait, want: "obeyed an old holder"},
		"term counted from the reply":              {fault: termFromReply, want: "two nodes"},
		"write without condition":                  {fault: writeWithoutCondition, want: "two nodes"},
		"version taken from an older reply":        {fault: staleVersionWatched, want: "two nodes"},
		"order's deadline after the lease's end":   {fault: deadlineOutsideLease, want: "obeyed an old holder"},
		"order without deadline and fencing token": {fault: orderWithoutDeadline, want: "obeyed an old holder"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := walk.All(start(test.fault, false, 3, 0), world.next, world.check)
			var broken *walk.InvariantError
			require.ErrorAs(t, err, &broken)
			assert.Contains(t, broken.Cause.Error(), test.want)
		})
	}
}
