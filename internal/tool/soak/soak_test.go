package soak_test

import (
	"context"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/platform/stand"
)

var (
	seed    = flag.Uint64("seed", 1, "seed of the plan")
	seconds = flag.Int("seconds", 6, "seconds of trouble")
	count   = flag.Int("hosts", 4, "gateways")
	keep    = flag.String("keep", "", "folder for the logs of a run; empty for a temporary one")
)

// regressions are the seeds that ever failed, each with its cause.
var regressions = map[string]struct {
	seed           uint64
	seconds, hosts int
}{
	"a SIGHUP ended a process that had just started":          {8, 12, 5},
	"requests that many callers send were blamed for crashes": {9, 12, 5},
	"the stand-in of a target that left put itself back":      {203, 10, 5},
	"the same blame, while hosts lost the store":              {108, 12, 5},
}

const (
	// callersEach is how many callers there are for each host.
	callersEach = 3
	// startPatience is when hosts that have just started must be ready.
	startPatience = 10 * time.Second
	// recovery is when everything must work again after the last trouble.
	recovery = 12 * time.Second
	// logLines is how much of each host's log a failed run prints.
	logLines = 12
)

func TestSoak(t *testing.T) {
	soak(t, *seed, *seconds, *count)
}

func TestSoakRegressions(t *testing.T) {
	for name, r := range regressions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			soak(t, r.seed, r.seconds, r.hosts)
		})
	}
}

// binaryOnce builds the program once for all runs.
var binaryOnce = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "cicadamill")
	out, err := exec.Command("go", "build", "-o", path, "github.com/cicadamill/cicadamill/cmd/cicadamill").CombinedOutput()
	if err != nil {
		return string(out), err
	}
	return path, nil
})

func soak(t *testing.T, seed uint64, seconds, hosts int) {
	binary, err := binaryOnce()
	require.NoError(t, err, binary)
	folder := *keep
	if folder == "" {
		folder = t.TempDir()
	}
	f := newFleet(t, binary, folder, hosts)
	defer f.close()
	require.NoError(t, f.ready(startPatience))
	calling, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range callersEach * hosts {
		c := newCaller(f, seed, i)
		callers.Go(func() { c.call(calling) })
	}
	for i, p := range f.hosts {
		c := newCaller(f, seed, callersEach*hosts+i)
		callers.Go(func() { c.probe(calling, p) })
	}
	f.play(t.Context(), newPlan(seed, time.Duration(seconds)*time.Second))
	assert.NoError(t, f.recovered(seed))
	stop()
	callers.Wait()
	f.report(t, seed)
	for _, broken := range f.judge.verdict() {
		t.Errorf("seed %d: %s", seed, broken)
	}
	if t.Failed() {
		for _, p := range f.hosts {
			for _, line := range p.tail(logLines) {
				t.Log(line)
			}
		}
	}
}

// recovered waits until every host serves every kind of request and every engine
// has the newest weights.
func (f *fleet) recovered(seed uint64) error {
	if err := f.ready(recovery); err != nil {
		return err
	}
	c := newCaller(f, seed, -1)
	defer c.client.CloseIdleConnections()
	err := within(recovery, func() string {
		for _, p := range f.hosts {
			for _, path := range []string{stand.Streams, stand.Effects, stand.Lookups} {
				r := c.ask(p, path, "key-0-a")
				f.judge.record(r)
				if r.status != 200 || r.broken {
					return p.settings.Name + " does not serve " + path + ": status " + strconv.Itoa(r.status)
				}
			}
		}
		return ""
	})
	if err != nil {
		return err
	}
	return within(stand.NewWeightsTime*3/2, f.old)
}

// within waits until nothing is missing any more.
func within(patience time.Duration, missing func() string) error {
	until := time.Now().Add(patience)
	for {
		what := missing()
		if what == "" {
			return nil
		}
		if time.Now().After(until) {
			return &notRecovered{what: what}
		}
		time.Sleep(callerPause)
	}
}

// notRecovered is what does not work after the last trouble.
type notRecovered struct{ what string }

func (e *notRecovered) Error() string { return e.what }

// old names an engine that has replaced weights.
func (f *fleet) old() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		if v := t.Version(); t.Model != "" && v != f.weights {
			return t.ID + " has weights " + strconv.FormatUint(v, 10) + " of " + strconv.FormatUint(f.weights, 10)
		}
	}
	return ""
}

// report logs what the run has seen.
func (f *fleet) report(t *testing.T, seed uint64) {
	j := f.judge
	j.mu.Lock()
	defer j.mu.Unlock()
	statuses, brokenOff, refusedRuns := map[int]int{}, 0, 0
	for _, r := range j.records {
		statuses[r.status]++
		if r.broken {
			brokenOff++
		}
		if stand.Promise(r.status) {
			refusedRuns++
		}
	}
	t.Logf("seed %d: %d requests, statuses %v, broken off %d, refusals %d; %d orders; steps %v",
		seed, len(j.records), statuses, brokenOff, refusedRuns, len(j.orders), j.steps)
}
