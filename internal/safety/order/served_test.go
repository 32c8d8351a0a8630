package order_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/safety/order"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

func TestServed(t *testing.T) {
	one, two := engine.Load{WeightVersion: "1"}, engine.Load{WeightVersion: "2"}
	tests := map[string]struct {
		reports []engine.Load
		want    string
	}{
		"no report":                             {want: "2"},
		"no engine has the wanted version":      {reports: []engine.Load{one, one, one}, want: "1"},
		"a minority has the wanted version":     {reports: []engine.Load{one, one, two}, want: "1"},
		"half have the wanted version":          {reports: []engine.Load{one, two}, want: "2"},
		"all have the wanted version":           {reports: []engine.Load{two, two}, want: "2"},
		"loading engine is not counted":         {reports: []engine.Load{one, one, two, {WeightVersion: "1", Loading: true}}, want: "1"},
		"draining engine is not counted":        {reports: []engine.Load{two, {WeightVersion: "1", Role: order.RoleDrain}}, want: "2"},
		"all engines drain":                     {reports: []engine.Load{{WeightVersion: "1", Role: order.RoleDrain}}, want: "2"},
		"rolled back to the previous version":   {reports: []engine.Load{one, one, one}, want: "1"},
		"report without version is not counted": {reports: []engine.Load{two, {}}, want: "2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, order.CurrentVersion("2", test.reports))
		})
	}
}
