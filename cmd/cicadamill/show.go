package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/pmezard/go-difflib/difflib"

	"github.com/cicadamill/cicadamill/internal/config/admin"
)

// showCommand prints a version of the configuration.
type showCommand struct {
	access
	Version *uint64 `arg:"--version" help:"version to print; the one in force on the node if not given" placeholder:"VERSION"`
	JSON    bool    `arg:"--json" help:"print JSON with the version"`
}

// Run implements [command].
func (c *showCommand) Run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	shown, err := c.read(ctx, client)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(out).Encode(shown)
	}
	if !shown.Verbatim {
		_, _ = fmt.Fprintln(os.Stderr, "the object store is unavailable: printing the configuration in force without its comments")
	}
	_, _ = fmt.Fprintf(os.Stderr, "version %d\n", shown.Version)
	_, err = io.WriteString(out, shown.Text)
	return err
}

func (c *showCommand) read(ctx context.Context, client *admin.Client) (admin.VersionText, error) {
	if c.Version == nil {
		return client.Current(ctx)
	}
	return client.Show(ctx, *c.Version)
}

// diffCommand compares a version with another version or a file.
type diffCommand struct {
	access
	From string `arg:"positional,required" help:"version" placeholder:"VERSION"`
	To   string `arg:"positional,required" help:"version or file" placeholder:"VERSION|FILE"`
	JSON bool   `arg:"--json" help:"print JSON"`
}

// diffReply is the result of a comparison in JSON.
type diffReply struct {
	From string `json:"from"`
	To   string `json:"to"`
	Diff string `json:"diff"`
}

// Run implements [command].
func (c *diffCommand) Run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	version, err := strconv.ParseUint(c.From, 10, 64)
	if err != nil {
		return &exitError{Code: exitUsage, Err: errors.New("the first argument must be a version")}
	}
	from, err := client.Show(ctx, version)
	if err != nil {
		return err
	}
	to, err := c.readTo(ctx, client)
	if err != nil {
		return err
	}
	difference := unified(from.Text, to, version, c.To)
	if c.JSON {
		return json.NewEncoder(out).Encode(diffReply{From: c.From, To: c.To, Diff: difference})
	}
	_, err = io.WriteString(out, difference)
	return err
}

// readTo reads the text to compare with: a version if it is a number, else a file.
func (c *diffCommand) readTo(ctx context.Context, client *admin.Client) (string, error) {
	if version, err := strconv.ParseUint(c.To, 10, 64); err == nil {
		shown, err := client.Show(ctx, version)
		return shown.Text, err
	}
	source, err := os.ReadFile(c.To)
	return string(source), err
}

// unified returns the unified diff of two texts.
func unified(from, to string, version uint64, name string) string {
	difference, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(from), B: difflib.SplitLines(to),
		FromFile: fmt.Sprint("version ", version), ToFile: name, Context: 1,
	})
	if err != nil {
		return err.Error()
	}
	return difference
}

// historyCommand lists the accepted versions.
type historyCommand struct {
	access
	Limit int  `arg:"--limit" default:"20" help:"number of versions" placeholder:"COUNT"`
	JSON  bool `arg:"--json" help:"print JSON"`
}

// Run implements [command].
func (c *historyCommand) Run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	history, err := client.History(ctx, c.Limit)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(out).Encode(history)
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "VERSION\tBASE\tTIME\tAUTHOR\tSUM")
	for _, entry := range history.Entries {
		_, _ = fmt.Fprintf(table, "%d\t%d\t%s\t%s\t%.12s\n", entry.Version, entry.Base, entry.Time.Format(time.RFC3339), entry.Author, entry.Sum)
	}
	return table.Flush()
}
