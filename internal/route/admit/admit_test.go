package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/route/admit"
)

func TestRetriesAreSpread(t *testing.T) {
	tests := map[string]struct{ wait, low, high time.Duration }{
		"short": {time.Millisecond, 250 * time.Millisecond, 375 * time.Millisecond},
		"some":  {4 * time.Second, 4 * time.Second, 6 * time.Second},
		"long":  {time.Hour, 30 * time.Second, 45 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			seen := map[time.Duration]bool{}
			for range 100 {
				retry := admit.Retry(random, test.wait)
				assert.GreaterOrEqual(t, retry, test.low)
				assert.LessOrEqual(t, retry, test.high)
				seen[retry] = true
			}
			assert.Greater(t, len(seen), 90, "retry delays should differ")
		})
	}
}

func ExampleDecide() {
	random := rand.New(rand.NewPCG(1, 1))
	_, inTime := admit.Decide(random, time.Second, 2*time.Second).(admit.Admit)
	_, late := admit.Decide(random, 3*time.Second, 2*time.Second).(admit.Reject)
	fmt.Println(inTime, late)
	// Output: true true
}
