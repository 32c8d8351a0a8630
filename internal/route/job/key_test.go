package job_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/route/job"
)

func TestKeyLeavesOutTheLastBlock(t *testing.T) {
	tests := map[string]struct {
		blocks []uint64
		want   uint64
	}{
		"no block": {nil, 77},
		"one":      {[]uint64{1}, 1},
		"two":      {[]uint64{1, 2}, 1},
		"four":     {[]uint64{1, 2, 3, 4}, 3},
		"five":     {[]uint64{1, 2, 3, 4, 5}, 4},
		"eight":    {[]uint64{1, 2, 3, 4, 5, 6, 7, 8}, 6},
		"ten":      {[]uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, job.PlacementKey(job.Job{Blocks: test.blocks, Fingerprint: 77}))
		})
	}
}
