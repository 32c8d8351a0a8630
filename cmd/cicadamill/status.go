package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cicadamill/cicadamill/internal/config/admin"
)

// statusCommand prints a node's view of itself and the fleet.
type statusCommand struct {
	access
	JSON bool `arg:"--json" help:"print JSON"`
}

// Run implements [command].
func (c *statusCommand) Run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(out).Encode(status)
	}
	return printStatus(out, status)
}

func printStatus(out io.Writer, status admin.Status) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format+"\n", values...) }
	line("node %s at %s, site %s, ready %t, configuration version %d", status.Node, status.DataCentre, status.Site, status.Ready, status.Version)
	if status.Flag != "" {
		line("ATTENTION: %s", status.Flag)
	}
	line("\nNODE\tDATA CENTRE\tSTATE\tVERSION\tADDRESS")
	for _, node := range status.Nodes {
		line("%s\t%s\t%s\t%d\t%s", node.Name, node.DataCentre, node.State, node.Version, node.Address)
	}
	line("\nTARGET\tDATA CENTRE\tMODEL\tWEIGHTS\tINCARNATION\tLEAVING\tRUNNING\tWAITING")
	for _, target := range status.Targets {
		line("%s\t%s\t%s\t%s\t%s\t%t\t%d\t%d", target.Name, target.DataCentre, target.Model, target.WeightVersion, target.Incarnation, target.Leaving, target.Running, target.Waiting)
	}
	line("\nWORKSPACE\tCLASS\tRUNNING\tREQUESTS")
	for _, load := range status.Workspaces {
		line("%s\t%s\t%d\t%d", load.Workspace, load.Class, load.Running, load.Requests)
	}
	return table.Flush()
}
