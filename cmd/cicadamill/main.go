// Command cicadamill routes language-model traffic with long shared prompts.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/hashicorp/go-hclog"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/node/server"
	"github.com/cicadamill/cicadamill/internal/standin/embed"
)

type serveArgs struct {
	Embedded bool   `arg:"--embedded" help:"run with stand-ins of the platform, engines and a service in this process"`
	Settings string `arg:"--settings" help:"file with this node's settings" placeholder:"FILE"`
	Listen   string `arg:"--listen" default:"127.0.0.1:8080" help:"address for callers, as IP number and port" placeholder:"ADDRESS"`
}

type args struct {
	Serve   *serveArgs   `arg:"subcommand:serve" help:"run a node"`
	Measure *measureArgs `arg:"subcommand:measure" help:"measure routing decisions in virtual time"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var a args
	parser := arg.MustParse(&a)
	if err := run(ctx, a, parser); err != nil {
		fmt.Fprintln(os.Stderr, "cicadamill:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, a args, parser *arg.Parser) error {
	switch {
	case a.Serve != nil:
		return serve(ctx, *a.Serve)
	case a.Measure != nil:
		return measure(ctx, *a.Measure)
	default:
		parser.Fail("name a command: serve or measure")
		return nil
	}
}

func serve(ctx context.Context, a serveArgs) error {
	logger := hclog.New(&hclog.LoggerOptions{Name: "cicadamill", Level: hclog.Info})
	if !a.Embedded {
		text, err := os.ReadFile(a.Settings)
		if err != nil {
			return err
		}
		settings, err := local.Parse(text)
		if err != nil {
			return err
		}
		return server.New(settings, logger).Serve(ctx)
	}
	site, _, err := embed.New(ctx)
	if err != nil {
		return err
	}
	settings := local.Settings{
		Name: "node-1", DataCentre: "local", CallerAddress: a.Listen, TableAddress: site.TableAddress,
		ObjectAddress: site.ObjectAddress, HostsAddress: site.HostsAddress, Bootstrap: site.Config,
	}
	fmt.Print(hint(a.Listen))
	return server.New(settings, logger).Serve(ctx)
}

func hint(address string) string {
	return fmt.Sprintf(`Try:
  curl -N http://%s/v1/chat/completions -H "Authorization: Bearer %s" \
    -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"What do posts cost?"}]}'
`, address, embed.MembersKey)
}
