package synth

import (
	"math/rand/v2"
	"time"
)

// Fault is a failure or a planned shutdown during a load. It is one of [Crash],
// [Leave] or [Restart].
type Fault interface {
	// When returns the time of the fault, relative to the start of the load.
	When() time.Duration
}

// Crash stops an engine, which later restarts with an empty cache.
type Crash struct {
	At     time.Duration
	Engine string
	// Down is the time until the engine restarts.
	Down time.Duration
}

// Leave drains an engine. The routers are notified with a delay.
type Leave struct {
	// At is the time from which the engine refuses new calls.
	At     time.Duration
	Engine string
	// NoticeDelay is the delay until the routers are notified. Until then they learn of
	// it only from refusals.
	NoticeDelay time.Duration
}

// Restart replaces all routers with new ones that hold no state. It interrupts
// the requests in progress, which their callers resend.
type Restart struct {
	At time.Duration
	// ClearCaches is true if the engines lose their caches as well.
	ClearCaches bool
}

// When implements [Fault].
func (f Crash) When() time.Duration { return f.At }

// When implements [Fault].
func (f Leave) When() time.Duration { return f.At }

// When implements [Fault].
func (f Restart) When() time.Duration { return f.At }

const (
	// WarmUp is the time before the measured interval.
	WarmUp = 60 * time.Second
	// FaultAt is the time of the first fault or of the shift in a load.
	FaultAt      = 120 * time.Second
	loadDuration = 240 * time.Second
	// herdFactor, surgeFactor and floodFactor are multiples of the normal request rate.
	herdFactor  = 20
	surgeFactor = 2
	floodFactor = 6
)

// Loads generates all loads of a site, in the order of [LoadNames].
//
//	for _, load := range synth.Loads(synth.Kochi(), 1) {
//		run(load)
//	}
func Loads(site Site, seed uint64) []Load {
	return []Load{
		steady(site, seed), herd(site, seed, false), herd(site, seed, true), monsoon(site, seed), shift(site, seed),
		crash(site, seed), leaving(site, seed), lagging(site, seed), flood(site, seed, true), flood(site, seed, false),
	}
}

// LoadNames returns the names of all loads.
func LoadNames() []string {
	return []string{"steady", "herd", "herdEmpty", "monsoon", "shift", "crash", "leaving", "lagging", "flood", "alone"}
}

// newLoad returns a generator and a load with the default lags and interval.
func newLoad(site Site, seed uint64, name string) (*generator, Load) {
	g := &generator{site: site, random: rand.New(rand.NewPCG(seed, uint64(len(site.Name))))}
	return g, Load{
		Name: name, Site: site, MeasureFrom: WarmUp, MeasureTo: loadDuration - requestDeadline,
		EventLag: defaultEventLag, ReportLag: defaultReportLag, StoreDownFrom: loadDuration + WarmUp,
	}
}

// addAllSessions adds sessions of all applications between two times, at a
// multiple of the normal rate.
func (g *generator) addAllSessions(from, to time.Duration, factor float64, lengths sheetLengths) {
	for _, a := range g.site.Apps {
		g.addSessions(a, from, to, factor*a.rate, lengths)
	}
}

func steady(site Site, seed uint64) Load {
	g, l := newLoad(site, seed, "steady")
	g.addAllSessions(0, loadDuration, 1, site.lengths)
	l.Requests = g.sortedRequests(loadDuration)
	return l
}

// herd restarts all routers and takes the KV store down. At the same time a
// burst at herdFactor times the normal rate lasts for one second, as if all
// clients sent requests at once.
func herd(site Site, seed uint64, empty bool) Load {
	name := "herd"
	if empty {
		name = "herdEmpty"
	}
	g, l := newLoad(site, seed, name)
	g.addAllSessions(0, loadDuration, 1, site.lengths)
	g.addAllSessions(FaultAt, FaultAt+time.Second, herdFactor, site.lengths)
	l.Faults = []Fault{Restart{At: FaultAt, ClearCaches: empty}}
	l.StoreDownFrom = FaultAt
	l.MeasureFrom, l.MeasureTo = FaultAt, FaultAt+time.Minute
	l.Requests = g.sortedRequests(loadDuration)
	return l
}

// monsoon is a surge: twice the normal rate, with sheets of three times the
// normal length in the additional sessions.
func monsoon(site Site, seed uint64) Load {
	g, l := newLoad(site, seed, "monsoon")
	g.addAllSessions(0, loadDuration, 1, site.lengths)
	g.addAllSessions(WarmUp, loadDuration-WarmUp, surgeFactor-1, sheetLengths{3 * site.lengths.low, 3 * site.lengths.high})
	l.Requests = g.sortedRequests(loadDuration)
	return l
}

// shift directs half of the requests of each application to a new material of a
// single workspace.
func shift(site Site, seed uint64) Load {
	g, l := newLoad(site, seed, "shift")
	g.addAllSessions(0, FaultAt, 1, site.lengths)
	g.addAllSessions(FaultAt, loadDuration, 0.5, site.lengths)
	for _, a := range site.Apps {
		hot := *a.workspaces[0]
		hot.materials = []segment{{id: 9999, tokens: 12000}}
		a.workspaces = []*workspace{&hot}
		g.addSessions(a, FaultAt, loadDuration, a.rate/2, site.lengths)
	}
	l.Requests = g.sortedRequests(loadDuration)
	return l
}

func crash(site Site, seed uint64) Load {
	g, l := newLoad(site, seed, "crash")
	g.addAllSessions(0, loadDuration, 1, site.lengths)
	engines := site.Apps[0].Engines
	l.Faults = []Fault{
		Crash{At: FaultAt, Engine: engines[0].Name, Down: 5 * time.Second},
		Crash{At: FaultAt + 20*time.Second, Engine: engines[1].Name, Down: 5 * time.Second},
	}
	l.MeasureFrom, l.MeasureTo = FaultAt, FaultAt+time.Minute
	l.Requests = g.sortedRequests(loadDuration)
	return l
}

func leaving(site Site, seed uint64) Load {
	g, l := newLoad(site, seed, "leaving")
	g.addAllSessions(0, loadDuration, 1, site.lengths)
	l.Faults = []Fault{Leave{At: FaultAt, Engine: site.Apps[0].Engines[0].Name, NoticeDelay: 2 * time.Second}}
	l.MeasureFrom, l.MeasureTo = FaultAt, FaultAt+time.Minute
	l.Requests = g.sortedRequests(loadDuration)
	return l
}

// lagging delays cache events and load reports and loses some of the events.
func lagging(site Site, seed uint64) Load {
	l := steady(site, seed)
	l.Name = "lagging"
	l.EventLag, l.EventLoss, l.ReportLag = 5*time.Second, 0.3, 3*time.Second
	return l
}

// flood measures the small workspaces while the largest workspace sends a
// multiple of the normal load. Without flooding the small ones are alone; that
// load is the reference.
func flood(site Site, seed uint64, flooding bool) Load {
	name := "alone"
	if flooding {
		name = "flood"
	}
	g, l := newLoad(site, seed, name)
	for _, a := range site.Apps {
		small := a
		small.workspaces = a.workspaces[3:]
		g.addSessions(small, 0, loadDuration, a.rate/4, site.lengths)
	}
	if flooding {
		for _, a := range site.Apps {
			large := a
			large.workspaces = a.workspaces[:1]
			g.addSessions(large, WarmUp, loadDuration, floodFactor*a.rate, site.lengths)
		}
	}
	l.Requests = g.sortedRequests(loadDuration)
	return l
}
