package flow

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestGateIsAskedAtDispatch sees no call leave for targets that were marked as
// leaving after the cell chose them, for a retry either.
func TestGateIsAskedAtDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := start(t)
		refused := 0
		WithGate(func(string, string) bool {
			refused++
			return refused <= 2
		})(n.runner)
		var caller seen
		require.NoError(t, n.runner.Run(context.Background(), request("1"), caller.sink))
		assert.Len(t, n.fleet.calls, 1)
		assert.True(t, caller.done)
		assert.EqualValues(t, 2, counter(n.scope, "leaving_refused"))
	})
}
