package order_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/safety/order"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

func TestServed(t *testing.T) {
	one, two := engine.LoadReport{WeightVersion: "1"}, engine.LoadReport{WeightVersion: "2"}
	tests := map[string]struct {
		reports []engine.LoadReport
		want    string
	}{
		"no report":                             {want: "2"},
		"no engine has the wanted version":      {reports: []engine.LoadReport{one, one, one}, want: "1"},
		"a minority has the wanted version":     {reports: []engine.LoadReport{one, one, two}, want: "1"},
		"half have the wanted version":          {reports: []engine.LoadReport{one, two}, want: "2"},
		"all have the wanted version":           {reports: []engine.LoadReport{two, two}, want: "2"},
		"loading engine is not counted":         {reports: []engine.LoadReport{one, one, two, {WeightVersion: "1", Loading: true}}, want: "1"},
		"draining engine is not counted":        {reports: []engine.LoadReport{two, {WeightVersion: "1", Role: order.RoleDrain}}, want: "2"},
		"all engines drain":                     {reports: []engine.LoadReport{{WeightVersion: "1", Role: order.RoleDrain}}, want: "2"},
		"rolled back to the previous version":   {reports: []engine.LoadReport{one, one, one}, want: "1"},
		"report without version is not counted": {reports: []engine.LoadReport{two, {}}, want: "2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, order.CurrentVersion("2", test.reports))
		})
	}
}
