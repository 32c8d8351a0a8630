package server

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/route/cell"
)

func TestDecisionCounterHandlesARestartedCell(t *testing.T) {
	scope := tally.NewTestScope("decide", nil)
	count := decisionCounter(scope)
	count(cell.Counts{Arrived: 5, Held: 2})
	count(cell.Counts{Arrived: 7, Held: 2})
	count(cell.Counts{Arrived: 1})
	snapshot := scope.Snapshot().Counters()
	assert.Equal(t, int64(8), snapshot["decide.arrived+"].Value())
	assert.Equal(t, int64(2), snapshot["decide.held+"].Value())
}
