package soak_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cicadamill/cicadamill/platform/fake"
)

const (
	// uploadBytes is the length of an upload: more than the buffers of a connection hold.
	uploadBytes = 12 << 20
	// uploadMemoryMB is the memory of a host that takes several uploads at once.
	uploadMemoryMB = 400
	// uploadCallers is the number of callers that send uploads in a step.
	uploadCallers = 4
)

// headScenario returns a run whose targets send heads that are no answers, and reset
// uploads.
func headScenario(seed uint64, seconds, hosts int) scenario {
	return scenario{seed: seed, seconds: seconds, hosts: hosts, bodyBytes: uploadBytes, memoryMB: uploadMemoryMB, kinds: slices.Concat(kinds, framingKinds, headKinds, headKinds)}
}

// TestSoakHeads guards against answers that are broken and reach callers while other faults
// happen.
func TestSoakHeads(t *testing.T) {
	for _, seed := range []uint64{4803, 4805} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSoak(t, headScenario(seed, 10, 4))
		})
	}
}

// TestSoakHeadsSeed runs the seed, seconds and hosts of the flags.
func TestSoakHeadsSeed(t *testing.T) {
	if *seed == 1 {
		t.Skip("needs -seed")
	}
	runSoak(t, headScenario(*seed, *seconds, *hostCount))
}

// uploadStep lets a target reset uploads for a while, and callers send them.
func (f *fleet) uploadStep(s step, t *target) {
	ctx, cancel := context.WithTimeout(context.Background(), s.duration)
	defer cancel()
	path := fake.Effects
	if t.Model != "" {
		path = fake.Streams
	}
	var callers sync.WaitGroup
	for i := range uploadCallers {
		c := newCaller(f, uint64(s.index), 6000+i)
		c.name = fmt.Sprintf("%d-%s", s.at, c.name)
		c.body = longUpload
		callers.Go(func() {
			defer c.client.CloseIdleConnections()
			for ctx.Err() == nil {
				f.checker.addRecord(c.send(f.hosts[c.random.IntN(len(f.hosts))], path, "key-0-a"))
				time.Sleep(requestInterval)
			}
		})
	}
	f.targetStep(s, t)
	callers.Wait()
}

var longUpload = strings.Repeat("x", uploadBytes)
