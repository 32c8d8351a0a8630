package ledger_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/tool/walk"
)

var deep = flag.Bool("deep", false, "visit the larger bounds of the model check too")

// TestEveryOrder visits every order of steps of the owners of one key, with
// lost, delayed and failed table operations, crashes and pauses at each step.
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
			report, err := walk.All(start(none, test.owners, test.faults, test.crashes), world.next, world.check)
			require.NoError(t, err)
			t.Logf("ledger: %d states, %d steps, depth %d", report.States, report.Steps, report.Depth)
			assert.Greater(t, report.States, 10_000)
		})
	}
}

func TestCheckCatchesPlantedFaults(t *testing.T) {
	tests := map[string]struct {
		fault planted
		want  string
	}{
		"dispatch before write":         {fault: dispatchBeforeWrite, want: "without holding"},
		"lost reply taken for done":     {fault: lostTakenForDone, want: "without holding"},
		"write without condition":       {fault: writeWithoutCondition, want: "without holding"},
		"nonce not compared":            {fault: nonceNotCompared, want: "without holding"},
		"bound not checked at dispatch": {fault: boundNotRechecked, want: "without holding"},
		"silence frees a reservation":   {fault: silenceFreesReservation, want: "without holding"},
		"freed before dispatch":         {fault: freedBeforeDispatch, want: "without holding"},
		"unknown told as not run":       {fault: unknownToldAsNotRun, want: "told not run"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := walk.All(start(test.fault, 2, 1, 0), world.next, world.check)
			var broken *walk.BrokenError
			require.ErrorAs(t, err, &broken)
			assert.Contains(t, broken.Cause.Error(), test.want)
		})
	}
}
