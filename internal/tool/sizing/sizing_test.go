package sizing_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/tool/sizing"
)

func TestRecordedSlopesAreComplete(t *testing.T) {
	slopes, err := sizing.RecordedSlopes()
	require.NoError(t, err)
	_, err = sizing.Estimate(sizing.TwoYears(), slopes)
	require.NoError(t, err)
	for name, slope := range slopes {
		assert.NotZero(t, slope.Value, name)
		assert.NotEmpty(t, slope.Unit, name)
		assert.NotEmpty(t, slope.Command, name)
		assert.NotEmpty(t, slope.Range, name)
		assert.NotEmpty(t, slope.Extrapolation, name)
	}
}

func TestMissingSlopeIsNamed(t *testing.T) {
	_, err := sizing.Estimate(sizing.Today(), sizing.Slopes{})
	var missing *sizing.MissingError
	require.ErrorAs(t, err, &missing)
	assert.NotEmpty(t, missing.Name)
}

func TestCostGrowsWithTheFleet(t *testing.T) {
	slopes, err := sizing.RecordedSlopes()
	require.NoError(t, err)
	small, err := sizing.Estimate(sizing.TwoYears(), slopes)
	require.NoError(t, err)
	fleet := sizing.TwoYears()
	fleet.Requests *= 2
	large, err := sizing.Estimate(fleet, slopes)
	require.NoError(t, err)
	before, _ := small.Total()
	after, _ := large.Total()
	assert.Greater(t, after.Core, before.Core)
}

// TestPageIsWhatTheSlopesGive checks that docs/CAPACITY.md contains the tables
// computed from the recorded slopes.
func TestPageIsWhatTheSlopesGive(t *testing.T) {
	page, err := os.ReadFile("../../../docs/CAPACITY.md")
	require.NoError(t, err)
	slopes, err := sizing.RecordedSlopes()
	require.NoError(t, err)
	plan, err := sizing.Estimate(sizing.TwoYears(), slopes)
	require.NoError(t, err)
	var tables strings.Builder
	require.NoError(t, sizing.Print(&tables, plan, slopes))
	assert.Contains(t, string(page), tables.String(), "update the tables with the output of: cicadamill capacity")
}

func ExampleEstimate() {
	slopes, _ := sizing.RecordedSlopes()
	plan, _ := sizing.Estimate(sizing.TwoYears(), slopes)
	fmt.Println(plan.Roles[0].Name)
	// Output: entry
}
