// Package load is an open-loop load generator. It sends chat requests with nested
// prompt prefixes and calls of plain services, both drawn from a seed, compares
// answers with the expected text if the engines are stand-ins, and counts
// violations of the router's guarantees.
package load

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxInFlight    = 4096
	maxIdlePerHost = 512
	dialTimeout    = 2 * time.Second
)

// Options configure the load.
type Options struct {
	// Addresses are the routers' listeners for callers, as IP number and port.
	Addresses []string
	// Keys are bearer keys, one for each workspace.
	Keys []string
	// Application is the "model" of chat requests.
	Application string
	// Service is the plain service to call; empty means none.
	Service string
	// ActionPath is the path of the service's non-idempotent call.
	ActionPath string
	// Seed determines the sequence of requests.
	Seed uint64
	// Rate is the mean number of requests a second.
	Rate float64
	// Duration is the duration over which requests are sent.
	Duration time.Duration
	// BurstEvery is the time between bursts; zero means none.
	BurstEvery time.Duration
	// BurstSize is the number of requests in a burst.
	BurstSize int
	// ServiceFraction is the fraction of requests that are calls of the service.
	ServiceFraction float64
	// UnstreamedFraction is the fraction of chat requests that ask for one JSON
	// document instead of a stream.
	UnstreamedFraction float64
	// Documents is the number of documents of each workspace. A prompt consists of a
	// part common to all, one of the workspace and one of a document.
	Documents int
	// LevelWords are the lengths of these three parts in words.
	LevelWords [3]int
	// MaxTokens is the maximum length of an answer.
	MaxTokens int
	// CheckAnswers enables the comparison of answers with those of the engine stand-in.
	CheckAnswers bool
	// Timeout limits one request including its retries.
	Timeout time.Duration
}

// Generator sends one run of the load.
type Generator struct {
	options Options
	client  *http.Client
	random  *rand.Rand
	tally   *tally
	slots   chan struct{}
}

// New prepares a run.
//
//	report := load.New(options).Do(ctx, nil)
func New(options Options) *Generator {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableCompression:  true,
	}
	return &Generator{
		options: options,
		client: &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		}},
		random: rand.New(rand.NewPCG(options.Seed, options.Seed)),
		tally:  newTally(),
		slots:  make(chan struct{}, maxInFlight),
	}
}

// Run sends the load and waits for every answer. It calls progress once a second,
// unless progress is nil.
func (g *Generator) Run(ctx context.Context, progress func(Report)) Report {
	defer g.client.CloseIdleConnections()
	var group sync.WaitGroup
	stopProgress := g.reportProgress(ctx, progress)
	start := time.Now()
	nextRequest, nextBurst := start, start.Add(g.options.BurstEvery)
	for ctx.Err() == nil && time.Since(start) < g.options.Duration {
		count := 1
		if g.options.BurstEvery > 0 && !time.Now().Before(nextBurst) {
			nextBurst = nextBurst.Add(g.options.BurstEvery)
			count = g.options.BurstSize
		}
		for range count {
			g.send(ctx, &group)
		}
		nextRequest = nextRequest.Add(time.Duration(g.random.ExpFloat64() / g.options.Rate * float64(time.Second)))
		sleep(ctx, time.Until(nextRequest))
	}
	group.Wait()
	stopProgress()
	return g.tally.report()
}

// send starts the next request. With [maxInFlight] requests in flight it only
// counts the request as skipped, so that slow answers don't delay the schedule.
func (g *Generator) send(ctx context.Context, group *sync.WaitGroup) {
	task := g.newTask()
	select {
	case g.slots <- struct{}{}:
	default:
		g.tally.countSkipped()
		return
	}
	group.Go(func() {
		defer func() { <-g.slots }()
		ctx, cancel := context.WithTimeout(ctx, g.options.Timeout)
		defer cancel()
		task.do(ctx, g)
	})
}

// reportProgress calls progress once a second until the returned function is
// called.
func (g *Generator) reportProgress(ctx context.Context, progress func(Report)) func() {
	if progress == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func(ctx context.Context) {
		defer close(done)
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				progress(g.tally.report())
			case <-ctx.Done():
				return
			}
		}
	}(ctx)
	return func() {
		cancel()
		<-done
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
