package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/hashicorp/go-hclog"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/node/server"
	"github.com/cicadamill/cicadamill/internal/standin/inproc"
	"github.com/cicadamill/cicadamill/internal/watch/logs"
)

const defaultListen = "127.0.0.1:8080"

// serveCommand runs a node.
type serveCommand struct {
	Embedded  bool   `arg:"--embedded" help:"run with stand-ins of the platform, engines and a service in this process"`
	Settings  string `arg:"--settings" help:"file with this node's settings" placeholder:"FILE"`
	Operators string `arg:"--operators" default:"127.0.0.1:8082" help:"address for operators with --embedded" placeholder:"ADDRESS"`
	Listen    string `arg:"--listen" help:"address for callers, as IP number and port; overrides the settings [default: 127.0.0.1:8080]" placeholder:"ADDRESS"`
}

// Run implements [command].
func (c *serveCommand) Run(ctx context.Context, out io.Writer) error {
	switch {
	case c.Embedded && c.Settings != "":
		return &exitError{Code: exitUsage, Err: errors.New("--embedded and --settings exclude each other")}
	case c.Embedded:
		return c.embedded(ctx, out)
	case c.Settings == "":
		return &exitError{Code: exitUsage, Err: errors.New("name this node's settings with --settings FILE, or try --embedded")}
	}
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	settings, err := local.Parse(text)
	if err != nil {
		return &exitError{Code: exitInvalid, Err: err}
	}
	if c.Listen != "" {
		settings.CallerAddress = c.Listen
	}
	logger, err := logs.New(logs.Options{Name: settings.Name, Format: settings.Log.Format, Level: settings.Log.Level}, os.Stderr)
	if err != nil {
		return err
	}
	return server.New(settings, logger).Serve(ctx)
}

func (c *serveCommand) embedded(ctx context.Context, out io.Writer) error {
	site, _, err := inproc.New(ctx)
	if err != nil {
		return err
	}
	listen := c.Listen
	if listen == "" {
		listen = defaultListen
	}
	settings := local.Settings{
		Name: "node-1", DataCentre: "local", CallerAddress: listen, TableAddress: site.TableAddress,
		ObjectAddress: site.ObjectAddress, HostsAddress: site.HostsAddress, Bootstrap: site.Config,
		OperatorAddress: c.Operators,
	}
	if _, err := io.WriteString(out, usageExamples(listen, c.Operators)); err != nil {
		return err
	}
	return server.New(settings, newLogger()).Serve(ctx)
}

func newLogger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "cicadamill", Level: hclog.Info})
}

func usageExamples(address, operators string) string {
	return fmt.Sprintf(`Try:
  curl -N http://%s/v1/chat/completions -H "Authorization: Bearer %s" \
    -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"What do posts cost?"}]}'
  curl http://%s/metrics
`, address, inproc.MembersKey, operators)
}
