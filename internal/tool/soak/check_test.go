package soak_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cicadamill/cicadamill/platform/fake"
)

// checker records what callers and targets observe, and finds violations of the
// guarantees after the run.
type checker struct {
	mu      sync.Mutex
	records []record
	runs    map[string][]fake.Run
	orders  []fake.Order
	crashes []fake.Run
	// arrivals are the calls to each instance of a target in order of their answers.
	arrivals map[instance][]fake.Arrival
	// deadly are the parts of prompts that crash targets.
	deadly []string
	// limits are the limits of workspaces, by name.
	limits map[string]fake.Limit
	// notes are figures of the checks for the log.
	notes   []string
	changes []configChange
	leftAt  map[string]time.Time
	faults  map[string][]span
	stops   map[string][]span
	// targetFaults are the times in which targets don't work as they should.
	targetFaults map[string][]span
	steps        map[stepKind]int
	failures     []string
}

// configChange is a change that the store has acknowledged.
type configChange struct {
	kind      stepKind
	path, key string
	// isolated are the isolated workspaces from then on.
	isolated map[string]bool
	// began is when the store got the change, at when it acknowledged it.
	began, at time.Time
}

type span struct{ from, to time.Time }

func newChecker() *checker {
	return &checker{
		runs: map[string][]fake.Run{}, arrivals: map[instance][]fake.Arrival{}, leftAt: map[string]time.Time{}, faults: map[string][]span{}, stops: map[string][]span{}, targetFaults: map[string][]span{}, steps: map[stepKind]int{},
	}
}

// RecordRun implements [fake.Recorder].
func (c *checker) RecordRun(r fake.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[r.ID] = append(c.runs[r.ID], r)
}

// RecordOrder implements [fake.Recorder].
func (c *checker) RecordOrder(o fake.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, o)
}

// RecordCrash implements [fake.Recorder].
func (c *checker) RecordCrash(r fake.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, r)
}

func (c *checker) addRecord(r record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, r)
}

func (c *checker) countStep(k stepKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steps[k]++
}

func (c *checker) targetLeft(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leftAt[id] = time.Now()
}

func (c *checker) addChange(change configChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = append(c.changes, change)
}

// addError records an error, if any, as a failure of the run.
func (c *checker) addError(err error) {
	if err != nil {
		c.addFailure("%v", err)
	}
}

func (c *checker) addFailure(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, values...))
}

// beginFault records a host as faulty until the returned function is called.
func (c *checker) beginFault(host string) func() { return c.beginSpan(c.faults, host) }

// beginStop records that a host is being stopped, until the returned function is
// called.
func (c *checker) beginStop(host string) func() { return c.beginSpan(c.stops, host) }

func (c *checker) beginSpan(spans map[string][]span, host string) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := len(spans[host])
	spans[host] = append(spans[host], span{from: time.Now()})
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		spans[host][index].to = time.Now()
	}
}

// beginTargetFault records a target as faulty until the returned function is called.
func (c *checker) beginTargetFault(id string) func() { return c.beginSpan(c.targetFaults, id) }

// recentRoutes returns the paths of the last four routes that were added.
func (c *checker) recentRoutes() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var paths []string
	for _, change := range c.changes {
		if change.kind == addRoute {
			paths = append(paths, change.path)
		}
	}
	return paths[max(0, len(paths)-4):]
}

const (
	// staleTolerance is how long a host may still answer by the previous
	// configuration after an answer by the next one.
	staleTolerance = 250 * time.Millisecond
	// resumeTolerance is how long after a host resumes the orders that it sent
	// before it was suspended may still arrive.
	resumeTolerance = 300 * time.Millisecond
)

// undisturbed reports whether a host was neither faulty nor stopping between two
// times and in the [fake.CatchUpTime] before them.
func (c *checker) undisturbed(host string, from, to time.Time) bool {
	for _, spans := range []map[string][]span{c.faults, c.stops} {
		for _, s := range spans[host] {
			if s.from.Before(to) && (s.to.IsZero() || s.to.After(from.Add(-fake.CatchUpTime))) {
				return false
			}
		}
	}
	return true
}

// violations returns the failures of the run and every violation of a guarantee.
func (c *checker) violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := slices.Clone(c.failures)
	for _, check := range []func() []string{c.checkAnswers, c.checkDraining, c.checkConfigApplied, c.checkConfigOrder, c.checkOrders, c.checkRetries, c.checkStops, c.checkCuts, c.checkParts, c.checkLimits, c.checkWorkspaceLimits, c.checkSaidLeaving, c.checkPauses, c.checkIsolation} {
		found = append(found, check()...)
	}
	return found
}

// checkAnswers checks that answers are complete and belong to their request, that
// effects run once, that requests reported as not run have not run, and that
// targets get the host's headers in place of those that the caller forged.
func (c *checker) checkAnswers() (found []string) {
	for _, r := range c.records {
		runs := c.runs[r.id]
		if r.violation != "" {
			found = append(found, fmt.Sprintf("%s at %s: %s", r.id, r.host, r.violation))
		}
		if r.path == fake.Effects && len(runs) > 1 {
			found = append(found, fmt.Sprintf("%s at %s ran %d times", r.id, r.host, len(runs)))
		}
		if fake.NotExecuted(r.status) && len(runs) > 0 {
			found = append(found, fmt.Sprintf("%s at %s got status %d, which means not run, but ran at %s", r.id, r.host, r.status, runs[0].Target))
		}
		for _, run := range runs {
			if run.ForwardedKey != "" || run.Workspace != "workspace"+strings.Split(r.key, "-")[1] {
				found = append(found, fmt.Sprintf("%s ran with caller key %q for workspace %q", r.id, run.ForwardedKey, run.Workspace))
			}
		}
	}
	return found
}

// checkDraining checks that a target gets no new requests later than
// [fake.DrainTime] after it left.
func (c *checker) checkDraining() (found []string) {
	for _, r := range c.records {
		for _, run := range c.runs[r.id] {
			left, ok := c.leftAt[run.Target]
			if ok && run.At.After(left.Add(fake.DrainTime)) && c.undisturbed(r.host, left, run.At) {
				found = append(found, fmt.Sprintf("%s from %s ran at target %s %v after the target left", r.id, r.host, run.Target, run.At.Sub(left)))
			}
		}
	}
	return found
}

// checkConfigApplied checks that every undisturbed host applies a change within
// [fake.ApplyTime].
func (c *checker) checkConfigApplied() (found []string) {
	for _, change := range c.changes {
		due := change.at.Add(fake.ApplyTime)
		for _, r := range c.records {
			if !r.sent.After(due) || !c.undisturbed(r.host, change.at, r.ended) {
				continue
			}
			late := r.sent.Sub(change.at)
			switch {
			case change.kind == revokeKey && r.key == change.key && len(c.runs[r.id]) > 0:
				found = append(found, fmt.Sprintf("%s from %s ran %v after its key was revoked", r.id, r.host, late))
			case change.kind == dropRoute && r.path == change.path && len(c.runs[r.id]) > 0:
				found = append(found, fmt.Sprintf("%s from %s ran %v after its route was removed", r.id, r.host, late))
			case change.kind == addRoute && r.path == change.path && r.status == 404 && !c.routeDropped(change.path, r.ended):
				found = append(found, fmt.Sprintf("%s from %s got status 404 %v after its route was added", r.id, r.host, late))
			}
		}
	}
	return found
}

func (c *checker) routeDropped(path string, before time.Time) bool {
	return slices.ContainsFunc(c.changes, func(change configChange) bool {
		return change.kind == dropRoute && change.path == path && change.at.Before(before)
	})
}

// checkConfigOrder checks that a host doesn't return to an older configuration
// without a restart: a removed route is not served again.
func (c *checker) checkConfigOrder() (found []string) {
	type hostRoute struct {
		host, path  string
		incarnation int
	}
	lastServed, lastMissing := map[hostRoute]time.Time{}, map[hostRoute]time.Time{}
	records := slices.Clone(c.records)
	slices.SortFunc(records, func(a, b record) int { return a.sent.Compare(b.sent) })
	for _, r := range records {
		at := hostRoute{host: r.host, path: r.path, incarnation: r.incarnation}
		switch {
		case r.status == 200:
			if missingAt, ok := lastMissing[at]; ok && r.sent.After(missingAt.Add(staleTolerance)) {
				found = append(found, fmt.Sprintf("%s: %s serves %s again after the route was removed", r.id, r.host, r.path))
			}
			lastServed[at] = r.ended
		case r.status == 404:
			if servedAt, ok := lastServed[at]; ok && r.sent.After(servedAt) {
				lastMissing[at] = r.ended
			}
		}
	}
	return found
}

// checkOrders checks that orders come from one lease holder at a time: with rising
// fencing tokens, and at least [fake.LeaseTime] after those of the previous one.
func (c *checker) checkOrders() (found []string) {
	orders := slices.Clone(c.orders)
	slices.SortFunc(orders, func(a, b fake.Order) int { return a.At.Compare(b.At) })
	for i := 1; i < len(orders); i++ {
		previous, o := orders[i-1], orders[i]
		if o.Holder == previous.Holder || c.sentBeforeResume(o) {
			continue
		}
		if o.Fence <= previous.Fence {
			found = append(found, fmt.Sprintf("%s sent an order with fencing token %d after %s sent one with %d", o.Holder, o.Fence, previous.Holder, previous.Fence))
		}
		if gap := o.At.Sub(previous.At); gap < fake.LeaseTime {
			found = append(found, fmt.Sprintf("%s sent an order %v after the last one from %s", o.Holder, gap, previous.Holder))
		}
	}
	return found
}

// sentBeforeResume reports whether an order arrived while its host was faulty or
// shortly after: the host may have sent it before it was suspended.
func (c *checker) sentBeforeResume(o fake.Order) bool {
	return slices.ContainsFunc(c.faults[o.Holder], func(s span) bool {
		return !s.to.IsZero() && o.At.After(s.from) && o.At.Before(s.to.Add(resumeTolerance))
	})
}

// checkRetries checks that the retries of all hosts together stay within the
// budget in every [fake.RetryWindow].
func (c *checker) checkRetries() (found []string) {
	const slotTime = time.Second
	if len(c.records) == 0 {
		return nil
	}
	start := c.records[0].sent
	firstSends, retries := map[int]map[string]int{}, map[int]map[string]int{}
	add := func(counts map[int]map[string]int, at time.Time, service string) {
		slot := int(at.Sub(start) / slotTime)
		if counts[slot] == nil {
			counts[slot] = map[string]int{}
		}
		counts[slot][service]++
	}
	for _, r := range c.records {
		service := fake.Plain
		if r.path == fake.Streams {
			service = fake.Engines
		}
		add(firstSends, r.sent, service)
		for i, run := range c.runs[r.id] {
			if i > 0 {
				add(retries, run.At, service)
			}
		}
	}
	for slot := range slices.Max(append(slices.Collect(maps.Keys(firstSends)), 0)) + 1 {
		for _, service := range []string{fake.Engines, fake.Plain} {
			sentCount, retryCount := 0, 0
			for s := slot; s < slot+int(fake.RetryWindow/slotTime); s++ {
				sentCount, retryCount = sentCount+firstSends[s][service], retryCount+retries[s][service]
			}
			if float64(retryCount) > fake.RetryRatio*float64(sentCount)+fake.RetrySlack {
				found = append(found, fmt.Sprintf("%d retries for %d requests to %s within %v", retryCount, sentCount, service, fake.RetryWindow))
			}
		}
	}
	return found
}

// checkStops checks that a host that shuts down completes the requests that a
// target runs to completion.
func (c *checker) checkStops() (found []string) {
	for _, r := range c.records {
		runs := c.runs[r.id]
		if !r.incomplete || len(runs) != 1 || r.path == fake.Streams || r.ended.Sub(r.sent) > requestTimeout/2 {
			continue
		}
		for _, s := range c.stops[r.host] {
			if r.sent.After(s.from) && r.sent.Before(s.to) && c.noFaultDuring(r) {
				found = append(found, fmt.Sprintf("%s at %s ran at %s, but the shutdown of the host cut the answer off", r.id, r.host, runs[0].Target))
			}
		}
	}
	return found
}

func (c *checker) noFaultDuring(r record) bool {
	return !slices.ContainsFunc(c.faults[r.host], func(s span) bool {
		return s.from.Before(r.ended) && (s.to.IsZero() || s.to.After(r.sent.Add(-fake.CatchUpTime)))
	})
}
