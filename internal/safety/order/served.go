package order

import (
	"maps"
	"slices"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Served returns the version of a model's weights that requests should name now.
// While engines are being loaded it is the version that most of those at work
// serve; the wanted one counts as soon as half of them do. Without any report
// it is the wanted one.
//
//	version := order.Served("2", reports) // "1" until half of the engines serve "2"
func Served(wanted string, reports []engine.Load) string {
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
	most := wanted
	for _, version := range slices.Sorted(maps.Keys(counts)) {
		if counts[version] > counts[most] {
			most = version
		}
	}
	return most
}
