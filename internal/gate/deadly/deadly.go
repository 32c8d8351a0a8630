// Package deadly keeps requests from targets that crash them one after the other. It
// finds out whether a target has crashed, shares what this node saw with the others,
// and leaves the decision to package poison.
package deadly

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/route/place"
	"github.com/cicadamill/cicadamill/internal/safety/poison"
)

const (
	// probeTimeout bounds the connection attempt that shows whether a target has
	// crashed. A crashed one refuses it at once.
	probeTimeout = 150 * time.Millisecond
	// maxReports bounds the crashes and survivals kept for other nodes.
	maxReports = 1024
)

// probePauses are the pauses before the connection attempts to a target whose
// connection broke.
var probePauses = []time.Duration{0, 20 * time.Millisecond, 50 * time.Millisecond}

// Options configures a [Detector].
type Options struct {
	// Self is the name of this node.
	Self string
	// Up returns the names of the other nodes that are up.
	Up func() []string
	// Dial connects to a target.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Scope receives the metrics.
	Scope tally.Scope
	// Logger logs crashes and what is refused because of them.
	Logger hclog.Logger
}

// Detector counts crashes of targets against requests and the parts of their prompts.
// It is safe for concurrent use. See [New].
type Detector struct {
	options Options

	mu      sync.Mutex
	counter *poison.Counter
	// reports are the crashes and survivals to send to other nodes.
	reports *oplog.Log[report]
	// refused are the features last logged as refused.
	refused []poison.Block
}

// report is the crash of one request, or the survival of a feature of such requests.
type report struct {
	crash    *poison.Crash
	survival *poison.Survival
	// at is when the crash occurred, or the survivor began.
	at time.Time
}

// New returns a detector that knows of no crashes.
//
//	detector := deadly.New(deadly.Options{Self: name, Up: up, Dial: dialer.DialContext, Scope: scope, Logger: logger})
//	if detector.Refused(now, request) {
//		refuse()
//	}
func New(options Options) *Detector {
	return &Detector{options: options, counter: poison.New(), reports: oplog.New[report](maxReports)}
}

// Refused reports whether a request holds something that crashed several targets.
func (d *Detector) Refused(now time.Time, request poison.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, refused := d.counter.Refused(now, request)
	return refused
}

// RefusesAny reports whether any request is refused.
func (d *Detector) RefusesAny(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counter.BlocksAny(now)
}

// Trial reports whether a refused request is sent nevertheless, and counts it as sent.
// One of all nodes does so once in a while for what used to be answered, so that a
// mistake doesn't last.
func (d *Detector) Trial(now time.Time, request poison.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	feature, refused := d.counter.Refused(now, request)
	return refused && d.makesTrials(feature) && d.counter.Trial(now, request)
}

// makesTrials reports whether this node makes the trials of a feature.
func (d *Detector) makesTrials(feature uint64) bool {
	score := func(name string) float64 {
		return place.Score(feature, place.Target{Name: name, Hash: place.Hash(name), Weight: 1})
	}
	own := score(d.options.Self)
	for _, name := range d.options.Up() {
		if score(name) > own {
			return false
		}
	}
	return true
}

// Broke records that the connection to a target broke as it began to answer a request;
// headers is true if the response headers had arrived. It reports whether the target
// has crashed, which it finds out by connecting to it.
func (d *Detector) Broke(ctx context.Context, request poison.Request, target roster.Target, headers bool) bool {
	if target.Leaving && !headers {
		// A target that leaves refuses connections as well.
		return false
	}
	d.mu.Lock()
	d.counter.ConnectionBroke(time.Now(), request, target.ID, headers)
	d.mu.Unlock()
	if !d.refusesConnections(ctx, target.Address, headers) {
		return false
	}
	d.TargetCrashed(time.Now(), target.ID)
	return true
}

// refusesConnections reports whether nothing listens at an address. A full target
// resets connections, which proves nothing. If the target may have crashed because of
// the request, it is asked several times, since its connections may end before its
// listener.
func (d *Detector) refusesConnections(ctx context.Context, address string, again bool) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for _, pause := range probePauses {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause):
		}
		conn, err := d.options.Dial(ctx, "tcp", address)
		switch {
		case err == nil:
			_ = conn.Close()
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		}
		if !again {
			return false
		}
	}
	return false
}

// TargetCrashed records that a target has crashed, against the requests that broke on
// it shortly before.
func (d *Detector) TargetCrashed(now time.Time, target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	crashes, survivals := d.counter.TargetCrashed(now, target)
	d.record(now, crashes, survivals)
	for _, c := range crashes {
		d.options.Scope.Counter("crash_suspects").Inc(1)
		d.options.Logger.Info("request broke on a crashed target", "digest", c.Request, "parts", c.Parts, "target", c.Target, "headers", c.Began, "ageMs", c.Age.Milliseconds())
	}
	d.logRefused(now)
}

// Answered records that a request which began to be answered at the given time was
// not the end of its target.
func (d *Detector) Answered(now, begunAt time.Time, request poison.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record(now, nil, d.counter.Answered(now, begunAt, request))
}

// Merge applies another node's crashes and survivals.
func (d *Detector) Merge(now time.Time, crashes []poison.Crash, survivals []poison.Survival) {
	if len(crashes) == 0 && len(survivals) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	newCrashes, newSurvivals := d.counter.Merge(now, crashes, survivals)
	d.record(now, newCrashes, newSurvivals)
	d.logRefused(now)
}

// record adds crashes and survivals to the log for other nodes. What was new to this
// node may be so to any other: not all reach each other.
func (d *Detector) record(now time.Time, crashes []poison.Crash, survivals []poison.Survival) {
	for _, c := range crashes {
		d.reports.Add(oplog.Origin{}, report{crash: &c, at: now.Add(-c.Age)})
	}
	for _, s := range survivals {
		d.reports.Add(oplog.Origin{}, report{survival: &s, at: now.Add(-s.Age)})
	}
}

// Since returns the crashes and survivals for a recipient after a position of the log,
// and the position after them. A recipient that has received none, or so few that the
// log no longer has the next ones, gets all that count.
func (d *Detector) Since(now time.Time, to oplog.Recipient, after uint64) ([]poison.Crash, []poison.Survival, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reports, next := d.reports.Since(after, to)
	if after == oplog.FromNow || !d.reports.Has(after) {
		return d.counter.Crashes(now), d.counter.Survivals(now), next
	}
	var crashes []poison.Crash
	var survivals []poison.Survival
	for _, r := range reports {
		if r.crash != nil {
			crash := *r.crash
			crash.Age = now.Sub(r.at)
			crashes = append(crashes, crash)
			continue
		}
		survival := *r.survival
		survival.Age = now.Sub(r.at)
		survivals = append(survivals, survival)
	}
	return crashes, survivals, next
}

// logRefused logs the features whose requests are newly refused or no longer.
func (d *Detector) logRefused(now time.Time) {
	refused := d.counter.Blocked(now)
	d.options.Scope.Gauge("crash_features_refused").Update(float64(len(refused)))
	for _, b := range refused {
		if !contains(d.refused, b) {
			d.options.Logger.Warn("requests are refused that crash targets", "feature", b.Feature, "wholeRequest", b.Whole, "crashes", b.Crashes)
		}
	}
	for _, b := range d.refused {
		if !contains(refused, b) {
			d.options.Logger.Info("requests are no longer refused", "feature", b.Feature, "wholeRequest", b.Whole)
		}
	}
	d.refused = refused
}

func contains(all []poison.Block, b poison.Block) bool {
	for _, other := range all {
		if other.Feature == b.Feature && other.Whole == b.Whole {
			return true
		}
	}
	return false
}

// LogRefused logs changes of what is refused. It must be called at intervals, since
// blocks also end with time.
func (d *Detector) LogRefused(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.logRefused(now)
}
