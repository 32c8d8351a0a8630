package main

import (
	"context"
	"io"

	"github.com/cicadamill/cicadamill/platform"
)

// gatewayCommand runs one host of a deployment on a platform.
type gatewayCommand struct {
	Metrics string `arg:"--metrics" help:"port of the metrics; empty for none"`
}

// Run implements [command].
func (c *gatewayCommand) Run(ctx context.Context, out io.Writer) error {
	return platform.Run(ctx, out, c.Metrics)
}
