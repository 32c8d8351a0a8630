package main

import (
	"context"
	"encoding/json"
	"io"

	"github.com/cicadamill/cicadamill/internal/tool/sizing"
)

// capacityCommand prints the resources that each role needs on a node.
type capacityCommand struct {
	Today bool `arg:"--today" help:"the larger deployment of today in place of the planned size"`
	JSON  bool `arg:"--json" help:"print JSON"`
}

// Run implements [command].
func (c *capacityCommand) Run(_ context.Context, out io.Writer) error {
	slopes, err := sizing.RecordedSlopes()
	if err != nil {
		return err
	}
	fleet := sizing.TwoYears()
	if c.Today {
		fleet = sizing.Today()
	}
	plan, err := sizing.Estimate(fleet, slopes)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(out).Encode(plan)
	}
	return sizing.Print(out, plan, slopes)
}
