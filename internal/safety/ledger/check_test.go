package ledger_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/tool/walk"
)

var deep = flag.Bool("deep", false, "also run the model checks with larger bounds")

// TestEveryOrder checks every interleaving of the owners of one key, with lost,
// delayed and failed table operations, and crashes and pauses at each step.
func TestEveryOrder(t *testing.T) {
	tests := map[string]struct {
		owners, faults, crashes int
		deep                    bool
	}{
		"two owners, one fault, one crash":  {owners: 2, faults: 1, crashes: 1},
		"two owners, two faults, one crash": {owners: 2, faults: 2, crashes: 1, deep: true},
		"three owners":                      {owners: 3, deep: true},
		"three owners, one crash":           {owners: 3, crashes: 1, deep: true},
	}
	for name, test := range tests {
		if test.deep && !*deep {
			continue
		}
		t.Run(name, func(t *testing.T) {
			report, err := walk.All(start(noFault, test.owners, test.faults, test.crashes), world.next, world.check)
			require.NoError(t, err)
			t.Logf("ledger: %d states, %d steps, depth %d", report.States, report.Steps, report.Depth)
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
		"dispatch before write":              {fault: dispatchBeforeWrite, want: "without holding"},
		"lost reply treated as success":      {fault: lostReplyAsSuccess, want: "without holding"},
		"write without condition":            {fault: writeWithoutCondition, want: "without holding"},
		"nonce not compared":                 {fault: nonceNotCompared, want: "without holding"},
		"hold time not checked at dispatch":  {fault: holdNotRechecked, want: "without holding"},
		"missing answer frees a reservation": {fault: missingAnswerFreesReservation, want: "without holding"},
		"freed before dispatch":              {fault: freedBeforeDispatch, want: "without holding"},
		"unknown reported as not run":        {fault: unknownReportedAsNotRun, want: "reported as not run"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := walk.All(start(test.fault, 2, 1, 0), world.next, world.check)
			var broken *walk.InvariantError
			require.ErrorAs(t, err, &broken)
			assert.Contains(t, broken.Cause.Error(), test.want)
		})
	}
}
