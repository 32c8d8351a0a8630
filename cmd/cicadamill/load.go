package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cicadamill/cicadamill/internal/tool/load"
)

// loadCommand sends a reproducible load to callers' listeners.
type loadCommand struct {
	Targets     []string      `arg:"--target,separate" help:"a callers' listener, as IP number and port; repeat for more" placeholder:"ADDRESS"`
	Keys        []string      `arg:"--key,separate" help:"a workspace's bearer key; repeat for more" placeholder:"KEY"`
	Application string        `arg:"--application" default:"assistant" help:"what chat requests name as model"`
	Service     string        `arg:"--service" help:"plain service to call besides"`
	Action      string        `arg:"--action" default:"/deliveries" help:"path of its call that must not be repeated"`
	Seed        uint64        `arg:"--seed" default:"1" help:"repeats the same load"`
	Rate        float64       `arg:"--rate" default:"20" help:"requests a second"`
	Length      time.Duration `arg:"--length" default:"10s" help:"how long to send"`
	BurstEvery  time.Duration `arg:"--burst-every" help:"time between bursts"`
	BurstSize   int           `arg:"--burst-size" default:"50" help:"requests in a burst"`
	ServicePart float64       `arg:"--service-part" default:"0.3" help:"part of requests that call the service"`
	WholePart   float64       `arg:"--whole-part" default:"0.1" help:"part of chat requests without a stream"`
	Sheets      int           `arg:"--sheets" default:"20" help:"different sheets in each workspace"`
	LevelWords  []int         `arg:"--level-words" help:"words in each of the three prompt levels [default: 800 800 400]"`
	MaxTokens   int           `arg:"--max-tokens" default:"32" help:"length of an answer"`
	Check       bool          `arg:"--check" help:"compare answers with those of the engine stand-in"`
	Timeout     time.Duration `arg:"--timeout" default:"60s" help:"for one request with its retries"`
	JSON        bool          `arg:"--json" help:"print the report as JSON"`
}

// Run implements [command].
func (c *loadCommand) Run(ctx context.Context, out io.Writer) error {
	if len(c.Targets) == 0 || len(c.Keys) == 0 || c.Rate <= 0 {
		return &exitError{Code: exitUsage, Err: errors.New("name at least one --target and one --key, and a --rate above zero")}
	}
	levels := [3]int{800, 800, 400}
	if len(c.LevelWords) > 0 {
		if len(c.LevelWords) != len(levels) {
			return &exitError{Code: exitUsage, Err: errors.New("--level-words takes three numbers")}
		}
		copy(levels[:], c.LevelWords)
	}
	run := load.New(load.Options{
		Addresses: c.Targets, Keys: c.Keys, Application: c.Application, Service: c.Service, ActionPath: c.Action,
		Seed: c.Seed, Rate: c.Rate, Duration: c.Length, BurstEvery: c.BurstEvery, BurstSize: c.BurstSize,
		ServiceFraction: c.ServicePart, UnstreamedFraction: c.WholePart, Documents: c.Sheets, LevelWords: levels,
		MaxTokens: c.MaxTokens, CheckAnswers: c.Check, Timeout: c.Timeout,
	})
	report := run.Run(ctx, func(r load.Report) { _, _ = fmt.Fprintln(os.Stderr, r.Summary()) })
	if err := c.print(out, report); err != nil {
		return err
	}
	if !report.OK() {
		return errors.New("a promise was broken")
	}
	return nil
}

func (c *loadCommand) print(out io.Writer, report load.Report) error {
	if !c.JSON {
		return report.WriteText(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
