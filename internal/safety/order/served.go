package order

import (
	"maps"
	"slices"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// CurrentVersion returns the weight version that requests for a model should use
// now. During a roll-out this is the version that most serving engines have, or the
// wanted one once at least half of them have it. Without reports it is the wanted
// one.
//
//	version := order.CurrentVersion("2", reports) // "1" until half of the engines serve "2"
func CurrentVersion(wanted string, reports []engine.LoadReport) string {
	counts := map[string]int{}
	total := 0
	for _, load := range reports {
		if load.Loading || load.Role == RoleDrain || load.WeightVersion == "" {
			continue
		}
		counts[load.WeightVersion]++
		total++
	}
	if 2*counts[wanted] >= total {
		return wanted
	}
	mostServed := wanted
	for _, version := range slices.Sorted(maps.Keys(counts)) {
		if counts[version] > counts[mostServed] {
			mostServed = version
		}
	}
	return mostServed
}
