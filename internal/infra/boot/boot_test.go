package boot_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/infra/boot"
)

func ExampleClock() {
	clock, err := boot.New()
	if err != nil {
		fmt.Println(err)
		return
	}
	began := clock.Now()
	fmt.Println(clock.Now().Sub(began) < time.Minute)
	// Output: true
}

// TestReadingsNeverStep checks that readings don't decrease, and that they hold no
// time of day or monotonic reading of their own that a step could change.
func TestReadingsNeverStep(t *testing.T) {
	clock, err := boot.New()
	require.NoError(t, err)
	last := clock.Now()
	for range 1000 {
		next := clock.Now()
		require.False(t, next.Before(last))
		require.Equal(t, next, next.Round(0), "the reading has a monotonic part")
		last = next
	}
	assert.WithinDuration(t, time.Now(), clock.Now(), time.Second)
}
