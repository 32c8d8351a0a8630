package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cicadamill/cicadamill/internal/standin/daemon"
	"github.com/cicadamill/cicadamill/internal/standin/lists"
	"github.com/cicadamill/cicadamill/internal/standin/model"
	"github.com/cicadamill/cicadamill/internal/standin/objs"
	"github.com/cicadamill/cicadamill/internal/standin/outage"
	"github.com/cicadamill/cicadamill/internal/standin/plain"
	"github.com/cicadamill/cicadamill/internal/standin/tables"
)

const (
	exitCrash    = 70
	bootIDLength = 6
)

// standinCommand holds the subcommands that run stand-ins as separate processes.
type standinCommand struct {
	Engine   *engineCommand   `arg:"subcommand:engine" help:"run a model engine"`
	Platform *platformCommand `arg:"subcommand:platform" help:"run the table service, the object store and the host list on one address"`
	Service  *serviceCommand  `arg:"subcommand:service" help:"run a plain service that counts its effects"`
}

// engineCommand runs an engine stand-in.
type engineCommand struct {
	Listen          string        `arg:"--listen" default:"127.0.0.1:0" help:"address, as IP number and port" placeholder:"ADDRESS"`
	Name            string        `arg:"--name,required" help:"the engine's name"`
	Model           string        `arg:"--model" default:"quay-7b" help:"the model that it serves"`
	WeightVersion   string        `arg:"--weight-version" default:"1" help:"the version of the weights"`
	BlockTokens     int           `arg:"--block-tokens" default:"2000" help:"tokens in a cached block"`
	CacheBlocks     int           `arg:"--cache-blocks" default:"64" help:"blocks that fit in the cache"`
	PrefillPerToken time.Duration `arg:"--prefill-per-token" default:"100us" help:"time to compute an uncached prompt token"`
	DecodePerToken  time.Duration `arg:"--decode-per-token" default:"10ms" help:"time between output tokens"`
	DecodePerCall   time.Duration `arg:"--decode-per-call" default:"200us" help:"what each call in the batch adds to it"`
	OutputTokens    int           `arg:"--output-tokens" default:"32" help:"length of an answer without a bound of the caller's"`
	MaxRunning      int           `arg:"--max-running" default:"32" help:"size of the batch"`
	MaxWaiting      int           `arg:"--max-waiting" default:"64" help:"length of the queue"`
	LoadLag         time.Duration `arg:"--load-lag" help:"age of load reports"`
	EventLag        time.Duration `arg:"--event-lag" help:"delay of cache events"`
	LoseEvery       uint64        `arg:"--lose-every" help:"leave out one cache event in so many"`
	WeightLoad      time.Duration `arg:"--weight-load" help:"time to load new weights"`
	IgnoresFence    bool          `arg:"--ignores-fence" help:"take orders with an old fencing number"`
	Poison          string        `arg:"--poison" help:"crash on prompts with this text"`
	PrintCalls      bool          `arg:"--print-calls" help:"print each call that it takes, before any work"`
}

// platformCommand runs the stand-ins of the platform's services.
type platformCommand struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"address, as IP number and port" placeholder:"ADDRESS"`
}

// serviceCommand runs a stand-in of a plain service.
type serviceCommand struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"address, as IP number and port" placeholder:"ADDRESS"`
}

// Run implements [command].
func (c *engineCommand) Run(ctx context.Context, out io.Writer) error {
	lines := &lineWriter{out: out}
	options := model.Options{
		Name: c.Name, BootID: "." + strings.ToLower(rand.Text()[:bootIDLength]), Model: c.Model, WeightVersion: c.WeightVersion,
		BlockTokens: c.BlockTokens, CacheBlocks: c.CacheBlocks, PrefillPerToken: c.PrefillPerToken,
		DecodePerToken: c.DecodePerToken, DecodePerCall: c.DecodePerCall, OutputTokens: c.OutputTokens,
		MaxRunning: c.MaxRunning, MaxWaiting: c.MaxWaiting, LoadLag: c.LoadLag, EventLag: c.EventLag,
		DropEvery: c.LoseEvery, WeightLoadTime: c.WeightLoad, IgnoresFence: c.IgnoresFence, Poison: c.Poison,
		OnCrash: func() { os.Exit(exitCrash) },
	}
	if c.PrintCalls {
		options.OnAccept = func(attempt string) { _, _ = fmt.Fprintln(lines, "call", attempt) }
	}
	return daemon.New(c.Listen, model.New(options).Handler()).Run(ctx, lines)
}

// Run implements [command].
func (c *platformCommand) Run(ctx context.Context, out io.Writer) error {
	table := tables.New().Handler()
	mux := http.NewServeMux()
	mux.Handle("/v1/rows", table)
	mux.Handle("/v1/transactions", table)
	mux.Handle("/v1/hosts", lists.New().Handler())
	mux.Handle("/", objs.New().Handler())
	return daemon.New(c.Listen, outage.New(mux)).Run(ctx, out)
}

// Run implements [command].
func (c *serviceCommand) Run(ctx context.Context, out io.Writer) error {
	return daemon.New(c.Listen, outage.New(plain.New().Handler())).Run(ctx, out)
}

// lineWriter serializes the lines of several goroutines.
type lineWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write implements [io.Writer].
func (w *lineWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(line)
}
