package group_test

import (
	"fmt"
	"testing"

	"github.com/cicadamill/cicadamill/internal/route/group"
	"github.com/cicadamill/cicadamill/internal/route/job"
)

// BenchmarkNear measures the choice of a cell by the number of engines in one
// data centre.
func BenchmarkNear(b *testing.B) {
	for _, engines := range []int{12, 153, 611, 1222} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			groups := group.New(newConfig(engines, 1))
			j := job.Job{Workspace: "w3", Application: "assistant", Blocks: []uint64{1, 2, 3, 4, 5}}
			b.ReportAllocs()
			for b.Loop() {
				groups.Nearest(j, "dc-0")
			}
		})
	}
}
