package soak_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cicadamill/cicadamill/platform/stand"
)

// judge collects what callers and targets see and says what breaks a promise.
type judge struct {
	mu       sync.Mutex
	records  []record
	runs     map[string][]stand.Run
	orders   []stand.Order
	changes  []change
	leaves   map[string]time.Time
	troubles map[string][]span
	stops    map[string][]span
	steps    map[kind]int
	failures []string
}

// change is a change of the configuration that was acknowledged.
type change struct {
	kind      kind
	path, key string
	at        time.Time
}

type span struct{ from, to time.Time }

func newJudge() *judge {
	return &judge{
		runs: map[string][]stand.Run{}, leaves: map[string]time.Time{}, troubles: map[string][]span{}, stops: map[string][]span{}, steps: map[kind]int{},
	}
}

// Ran implements [stand.Ledger].
func (j *judge) Ran(r stand.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[r.ID] = append(j.runs[r.ID], r)
}

// Ordered implements [stand.Ledger].
func (j *judge) Ordered(o stand.Order) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.orders = append(j.orders, o)
}

func (j *judge) record(r record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, r)
}

func (j *judge) count(k kind) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.steps[k]++
}

func (j *judge) left(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leaves[id] = time.Now()
}

func (j *judge) changed(c change) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.changes = append(j.changes, c)
}

// note keeps an error as a failure.
func (j *judge) note(err error) {
	if err != nil {
		j.fail("%v", err)
	}
}

func (j *judge) fail(format string, values ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failures = append(j.failures, fmt.Sprintf(format, values...))
}

// trouble notes that a host is in trouble from now until the result is called.
func (j *judge) trouble(host string) func() { return j.begin(j.troubles, host) }

// planned notes that a host is being stopped.
func (j *judge) planned(host string) func() { return j.begin(j.stops, host) }

func (j *judge) begin(spans map[string][]span, host string) func() {
	j.mu.Lock()
	defer j.mu.Unlock()
	at := len(spans[host])
	spans[host] = append(spans[host], span{from: time.Now()})
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		spans[host][at].to = time.Now()
	}
}

// paths returns the routes that have come so far.
func (j *judge) paths() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var paths []string
	for _, c := range j.changes {
		if c.kind == addPath {
			paths = append(paths, c.path)
		}
	}
	return paths[max(0, len(paths)-4):]
}

const (
	// backTime is how long after a host has shown a configuration it may show the
	// one before.
	backTime = 250 * time.Millisecond
	// wakeTime is how long orders that a suspended host had sent may still come.
	wakeTime = 300 * time.Millisecond
)

// inTouch reports whether a host had no trouble from a while before a time on
// until another.
func (j *judge) inTouch(host string, from, to time.Time) bool {
	for _, spans := range []map[string][]span{j.troubles, j.stops} {
		for _, s := range spans[host] {
			if s.from.Before(to) && (s.to.IsZero() || s.to.After(from.Add(-stand.ContactTime))) {
				return false
			}
		}
	}
	return true
}

// verdict returns every promise that was broken.
func (j *judge) verdict() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	broken := slices.Clone(j.failures)
	for _, check := range []func() []string{j.answers, j.leaving, j.configuration, j.backwards, j.duty, j.budget, j.cuts} {
		broken = append(broken, check()...)
	}
	return broken
}

// answers: whole and of this request; what must not run twice does not; what is
// said not to have run has not; headers of the system are its own.
func (j *judge) answers() (broken []string) {
	for _, r := range j.records {
		runs := j.runs[r.id]
		if r.wrong != "" {
			broken = append(broken, fmt.Sprintf("%s at %s: %s", r.id, r.host, r.wrong))
		}
		if r.path == stand.Effects && len(runs) > 1 {
			broken = append(broken, fmt.Sprintf("%s at %s ran %d times", r.id, r.host, len(runs)))
		}
		if stand.Promise(r.status) && len(runs) > 0 {
			broken = append(broken, fmt.Sprintf("%s at %s was answered %d and ran at %s", r.id, r.host, r.status, runs[0].Target))
		}
		for _, run := range runs {
			if run.Key != "" || run.Workspace != "workspace"+strings.Split(r.key, "-")[1] {
				broken = append(broken, fmt.Sprintf("%s ran with key %q for workspace %q", r.id, run.Key, run.Workspace))
			}
		}
	}
	return broken
}

// leaving: a target that leaves gets no new work soon.
func (j *judge) leaving() (broken []string) {
	for _, r := range j.records {
		for _, run := range j.runs[r.id] {
			left, ok := j.leaves[run.Target]
			if ok && run.At.After(left.Add(stand.DrainTime)) && j.inTouch(r.host, left, run.At) {
				broken = append(broken, fmt.Sprintf("%s of %s ran at %s %v after it left", r.id, r.host, run.Target, run.At.Sub(left)))
			}
		}
	}
	return broken
}

// configuration: a change is in force on every host in touch in time.
func (j *judge) configuration() (broken []string) {
	for _, c := range j.changes {
		due := c.at.Add(stand.ApplyTime)
		for _, r := range j.records {
			if !r.sent.After(due) || !j.inTouch(r.host, c.at, r.ended) {
				continue
			}
			late := r.sent.Sub(c.at)
			switch {
			case c.kind == revokeKey && r.key == c.key && len(j.runs[r.id]) > 0:
				broken = append(broken, fmt.Sprintf("%s of %s ran %v after its key was revoked", r.id, r.host, late))
			case c.kind == dropPath && r.path == c.path && len(j.runs[r.id]) > 0:
				broken = append(broken, fmt.Sprintf("%s of %s ran %v after its route was dropped", r.id, r.host, late))
			case c.kind == addPath && r.path == c.path && r.status == 404 && !j.dropped(c.path, r.ended):
				broken = append(broken, fmt.Sprintf("%s of %s got 404 %v after its route was added", r.id, r.host, late))
			}
		}
	}
	return broken
}

func (j *judge) dropped(path string, before time.Time) bool {
	return slices.ContainsFunc(j.changes, func(c change) bool { return c.kind == dropPath && c.path == path && c.at.Before(before) })
}

// backwards: one start of a host never goes back to an older configuration.
func (j *judge) backwards() (broken []string) {
	type place struct {
		host, path string
		life       int
	}
	served, gone := map[place]time.Time{}, map[place]time.Time{}
	records := slices.Clone(j.records)
	slices.SortFunc(records, func(a, b record) int { return a.sent.Compare(b.sent) })
	for _, r := range records {
		at := place{host: r.host, path: r.path, life: r.life}
		switch {
		case r.status == 200:
			if g, ok := gone[at]; ok && r.sent.After(g.Add(backTime)) {
				broken = append(broken, fmt.Sprintf("%s: %s serves %s again", r.id, r.host, r.path))
			}
			served[at] = r.ended
		case r.status == 404:
			if s, ok := served[at]; ok && r.sent.After(s) {
				gone[at] = r.ended
			}
		}
	}
	return broken
}

// duty: orders come from one host at a time.
func (j *judge) duty() (broken []string) {
	orders := slices.Clone(j.orders)
	slices.SortFunc(orders, func(a, b stand.Order) int { return a.At.Compare(b.At) })
	for i := 1; i < len(orders); i++ {
		before, o := orders[i-1], orders[i]
		if o.Holder == before.Holder || j.woke(o) {
			continue
		}
		if o.Fence <= before.Fence {
			broken = append(broken, fmt.Sprintf("%s orders with fence %d after %s with %d", o.Holder, o.Fence, before.Holder, before.Fence))
		}
		if gap := o.At.Sub(before.At); gap < stand.LeaseTime {
			broken = append(broken, fmt.Sprintf("%s orders %v after %s", o.Holder, gap, before.Holder))
		}
	}
	return broken
}

// woke reports whether an order came from a host that had just been suspended.
func (j *judge) woke(o stand.Order) bool {
	return slices.ContainsFunc(j.troubles[o.Holder], func(s span) bool {
		return !s.to.IsZero() && o.At.After(s.from) && o.At.Before(s.to.Add(wakeTime))
	})
}

// budget: second sendings of all hosts together stay within the bound.
func (j *judge) budget() (broken []string) {
	const step = time.Second
	if len(j.records) == 0 {
		return nil
	}
	began := j.records[0].sent
	first, again := map[int]map[string]int{}, map[int]map[string]int{}
	add := func(counts map[int]map[string]int, at time.Time, service string) {
		slot := int(at.Sub(began) / step)
		if counts[slot] == nil {
			counts[slot] = map[string]int{}
		}
		counts[slot][service]++
	}
	for _, r := range j.records {
		service := stand.Desk
		if r.path == stand.Streams {
			service = stand.Engines
		}
		add(first, r.sent, service)
		for i, run := range j.runs[r.id] {
			if i > 0 {
				add(again, run.At, service)
			}
		}
	}
	for slot := range slices.Max(append(slices.Collect(maps.Keys(first)), 0)) + 1 {
		for _, service := range []string{stand.Engines, stand.Desk} {
			firsts, seconds := 0, 0
			for s := slot; s < slot+int(stand.RepeatWindow/step); s++ {
				firsts, seconds = firsts+first[s][service], seconds+again[s][service]
			}
			if float64(seconds) > stand.RepeatRatio*float64(firsts)+stand.RepeatSlack {
				broken = append(broken, fmt.Sprintf("%d second sendings for %d requests to %s within %v", seconds, firsts, service, stand.RepeatWindow))
			}
		}
	}
	return broken
}

// cuts: a host that is told to stop cuts no request off that a target runs to its
// end.
func (j *judge) cuts() (broken []string) {
	for _, r := range j.records {
		runs := j.runs[r.id]
		if !r.broken || len(runs) != 1 || r.path == stand.Streams || r.ended.Sub(r.sent) > deadline/2 {
			continue
		}
		for _, s := range j.stops[r.host] {
			if r.sent.After(s.from) && r.sent.Before(s.to) && j.untroubled(r) {
				broken = append(broken, fmt.Sprintf("%s at %s, which stops, ran at %s and was cut off", r.id, r.host, runs[0].Target))
			}
		}
	}
	return broken
}

func (j *judge) untroubled(r record) bool {
	return !slices.ContainsFunc(j.troubles[r.host], func(s span) bool {
		return s.from.Before(r.ended) && (s.to.IsZero() || s.to.After(r.sent.Add(-stand.ContactTime)))
	})
}
