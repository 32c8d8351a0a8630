package stall_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/safety/stall"
)

func TestDetector(t *testing.T) {
	const tick = 50 * time.Millisecond
	tests := map[string]struct {
		monotonic, boot time.Duration
		lost            time.Duration
		late            bool
	}{
		"runs":                              {monotonic: tick, boot: tick},
		"clocks that differ a little":       {monotonic: tick, boot: tick + 5*time.Millisecond},
		"suspended":                         {monotonic: tick, boot: 3 * time.Second, lost: 3*time.Second - tick, late: true},
		"stopped while both clocks go on":   {monotonic: 3 * time.Second, boot: 3 * time.Second, late: true},
		"suspended for less than threshold": {monotonic: tick, boot: 300 * time.Millisecond, lost: 250 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			monotonic, boot := time.Unix(5000, 0), time.Unix(9000, 0)
			var d stall.Detector
			observe := func(m, b time.Duration) time.Duration {
				monotonic, boot = monotonic.Add(m), boot.Add(b)
				return d.Observe(monotonic, boot)
			}
			assert.Zero(t, observe(tick, tick), "nothing to compare with")
			assert.False(t, d.Late())
			assert.Equal(t, test.lost, observe(test.monotonic, test.boot))
			assert.Equal(t, test.late, d.Late())
			for range 30 {
				assert.Zero(t, observe(tick, tick))
			}
			assert.False(t, d.Late(), "a stall is forgotten")
		})
	}
}
