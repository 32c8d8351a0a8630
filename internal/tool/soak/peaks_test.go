package soak_test

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/platform/fake"
)

var peaks = flag.Bool("peaks", false, "measure the peaks of the hosts' memory")

const (
	// peakTime is the time of each measurement.
	peakTime = 16 * time.Second
	// peakBody is the longest body that the sheets allow.
	peakBody = 4 << 20
	// peakStreams and peakBodies are the callers of each host.
	peakStreams, peakBodies = 100, 23
)

// TestMemoryPeaks measures the anonymous memory of two hosts while clients send bodies at
// the limit and engines send events without end. It is run by hand.
func TestMemoryPeaks(t *testing.T) {
	if !*peaks {
		t.Skip("needs -peaks")
	}
	const engines = 8
	tests := map[string]struct {
		endless int
		bodies  bool
	}{
		"1 neither": {}, "2 bodies": {bodies: true}, "3 one engine": {endless: 1}, "4 half of the engines": {endless: engines / 2},
		"5 all engines": {endless: engines}, "6 bodies and all engines": {endless: engines, bodies: true},
	}
	for _, memory := range []int{134, 112} {
		for name, test := range tests {
			t.Run(fmt.Sprint(memory, " ", name), func(t *testing.T) {
				binary, err := buildBinary()
				require.NoError(t, err, binary)
				f := newFleet(t, binary, t.TempDir(), scenario{hosts: 2, engines: engines, plainTargets: 4, bodyBytes: peakBody, memoryMB: memory})
				defer f.close()
				require.NoError(t, f.awaitReady(startTimeout))
				for _, target := range f.targets[:test.endless] {
					target.SetFault(fake.EndlessEvent)
				}
				peak, statuses := f.measurePeak(t.Context(), test.bodies)
				t.Logf("%d MB, %s: peak %d MB, answers to bodies %v", memory, name, peak>>20, statuses)
				assert.Less(t, peak, memory<<20)
			})
		}
	}
}

// measurePeak sends streams, and bodies at the limit if asked for, to all hosts, and
// returns the most anonymous memory of one of them and the statuses of the bodies.
func (f *fleet) measurePeak(ctx context.Context, bodies bool) (peak int, statuses map[int]int) {
	ctx, cancel := context.WithTimeout(ctx, peakTime)
	defer cancel()
	var callers sync.WaitGroup
	answers := make(chan int, 1<<16)
	body := strings.Repeat("x", peakBody)
	for i, p := range f.hosts {
		for n := range peakStreams {
			callers.Go(func() { f.repeat(ctx, p, i*1000+n, fake.Streams, "", nil) })
		}
		for n := range peakBodies {
			if bodies {
				callers.Go(func() { f.repeat(ctx, p, i*1000+500+n, fake.Effects, body, answers) })
			}
		}
	}
	for ctx.Err() == nil {
		for _, p := range f.hosts {
			peak = max(peak, p.anonymousBytes())
		}
		time.Sleep(memoryInterval)
	}
	callers.Wait()
	close(answers)
	statuses = map[int]int{}
	for status := range answers {
		statuses[status]++
	}
	return peak, statuses
}

// repeat sends requests of a caller to a host until the context ends, and their statuses
// to answers unless it is nil.
func (f *fleet) repeat(ctx context.Context, p *process, number int, path, body string, answers chan<- int) {
	c := newCaller(f, 1, number)
	defer c.client.CloseIdleConnections()
	for c.body = body; ctx.Err() == nil; time.Sleep(requestInterval) {
		r := c.send(p, path, "key-0-a")
		if answers != nil {
			answers <- r.status
		}
	}
}
