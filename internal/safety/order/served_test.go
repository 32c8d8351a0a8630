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
		"no report":               {want: "2"},
		"none has it":             {reports: []engine.Load{one, one, one}, want: "1"},
		"a few have it":           {reports: []engine.Load{one, one, two}, want: "1"},
		"half have it":            {reports: []engine.Load{one, two}, want: "2"},
		"all have it":             {reports: []engine.Load{two, two}, want: "2"},
		"one that loads is out":   {reports: []engine.Load{one, one, two, {WeightVersion: "1", Loading: true}}, want: "1"},
		"one that drains is out":  {reports: []engine.Load{two, {WeightVersion: "1", Role: order.RoleDrain}}, want: "2"},
		"all out":                 {reports: []engine.Load{{WeightVersion: "1", Role: order.RoleDrain}}, want: "2"},
		"given up, gone back":     {reports: []engine.Load{one, one, one}, want: "1"},
		"silent ones don't count": {reports: []engine.Load{two, {}}, want: "2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, order.Served("2", test.reports))
		})
	}
}
