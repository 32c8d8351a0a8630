package flow

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestGateIsAskedAtDispatch checks that no call, first or retried, is sent to a
// target that was marked as leaving after the cell had chosen it.
func TestGateIsAskedAtDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := start(t)
		refused := 0
		WithLeavingCheck(func(string, string) bool {
			refused++
			return refused <= 2
		})(n.runner)
		var caller receivedAnswer
		require.NoError(t, n.runner.Run(context.Background(), request("1"), caller.sink))
		assert.Len(t, n.fleet.calls, 1)
		assert.True(t, caller.done)
		assert.EqualValues(t, 2, counterValue(n.scope, "leaving_refused"))
	})
}
