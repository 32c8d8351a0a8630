// Package load is an open-loop load tool: it sends chat requests with nested
// prompt prefixes and calls of plain services at a seeded rate, checks every
// answer to the last byte where it can, and counts broken promises.
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
	defaultInFlight = 4096
	idlePerHost     = 512
	dialTimeout     = 2 * time.Second
)

// Options describe the load.
type Options struct {
	// Addresses are callers' listeners, as IP number and port.
	Addresses []string
	// Keys are bearer keys, one for each workspace.
	Keys []string
	// Application is what chat requests name in "model".
	Application string
	// Service is the plain service to call; empty means none.
	Service string
	// Action is the path of the service's non-idempotent call.
	Action string
	// Seed repeats the load.
	Seed uint64
	// Rate is the mean number of requests a second.
	Rate float64
	// Length is how long new requests are sent.
	Length time.Duration
	// BurstEvery is the time between bursts; zero means none.
	BurstEvery time.Duration
	// BurstSize is the number of requests in a burst.
	BurstSize int
	// ServicePart is the part of requests that are calls of the service.
	ServicePart float64
	// WholePart is the part of chat requests that want no stream.
	WholePart float64
	// Sheets is the number of different sheets in each workspace.
	Sheets int
	// LevelWords are the lengths of the three nested prompt levels, in words.
	LevelWords [3]int
	// MaxTokens bounds an answer.
	MaxTokens int
	// Check compares answers with those of the engine stand-in.
	Check bool
	// Timeout bounds one request with all its retries.
	Timeout time.Duration
}

// Run is one run of the load.
type Run struct {
	options Options
	client  *http.Client
	random  *rand.Rand
	tally   *tally
	slots   chan struct{}
}

// New prepares a run.
//
//	report := load.New(options).Do(ctx, nil)
func New(options Options) *Run {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		DisableCompression:  true,
	}
	return &Run{
		options: options,
		client: &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		}},
		random: rand.New(rand.NewPCG(options.Seed, options.Seed)),
		tally:  newTally(),
		slots:  make(chan struct{}, defaultInFlight),
	}
}

// Do sends the load and waits for every answer. The function progress, if any,
// hears of the state once a second.
func (r *Run) Do(ctx context.Context, progress func(Report)) Report {
	defer r.client.CloseIdleConnections()
	var group sync.WaitGroup
	stopProgress := r.watch(ctx, progress)
	start := time.Now()
	next, burst := start, start.Add(r.options.BurstEvery)
	for ctx.Err() == nil && time.Since(start) < r.options.Length {
		count := 1
		if r.options.BurstEvery > 0 && !time.Now().Before(burst) {
			burst = burst.Add(r.options.BurstEvery)
			count = r.options.BurstSize
		}
		for range count {
			r.send(ctx, &group)
		}
		next = next.Add(time.Duration(r.random.ExpFloat64() / r.options.Rate * float64(time.Second)))
		wait(ctx, time.Until(next))
	}
	group.Wait()
	stopProgress()
	return r.tally.report()
}

// send draws the next request and sends it, unless too many are in flight.
func (r *Run) send(ctx context.Context, group *sync.WaitGroup) {
	task := r.draw()
	select {
	case r.slots <- struct{}{}:
	default:
		r.tally.skip()
		return
	}
	group.Go(func() {
		defer func() { <-r.slots }()
		ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
		defer cancel()
		task.do(ctx, r)
	})
}

// watch reports progress once a second until it is stopped.
func (r *Run) watch(ctx context.Context, progress func(Report)) func() {
	if progress == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func(ctx context.Context) {
		defer close(ended)
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				progress(r.tally.report())
			case <-ctx.Done():
				return
			}
		}
	}(ctx)
	return func() {
		cancel()
		<-ended
	}
}

func wait(ctx context.Context, d time.Duration) {
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
