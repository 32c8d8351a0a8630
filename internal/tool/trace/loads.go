package trace

import (
	"math/rand/v2"
	"time"
)

// Fault is something that goes wrong during a load. It is one of [Crash],
// [Leave] or [Restart].
type Fault interface {
	// When is the time of the fault since the start of the load.
	When() time.Duration
}

// Crash takes an engine down; it comes back empty.
type Crash struct {
	// At is the time of the crash.
	At time.Duration
	// Engine is the engine's name.
	Engine string
	// Down is how long the engine stays away.
	Down time.Duration
}

// Leave makes an engine leave; routers learn of it late.
type Leave struct {
	// At is the time from which the engine refuses new calls.
	At time.Duration
	// Engine is the engine's name.
	Engine string
	// Lag is how late the routers learn of it other than by a refusal.
	Lag time.Duration
}

// Restart replaces all routers with empty ones. Requests under way are cut and
// sent again by their callers.
type Restart struct {
	// At is the time.
	At time.Duration
	// EmptyEngines is true when the engines lose their caches too.
	EmptyEngines bool
}

// When implements [Fault].
func (f Crash) When() time.Duration { return f.At }

// When implements [Fault].
func (f Leave) When() time.Duration { return f.At }

// When implements [Fault].
func (f Restart) When() time.Duration { return f.At }

const (
	// WarmUp is the time before the figures count.
	WarmUp = 60 * time.Second
	// FaultAt is the time at which a load's fault or shift comes.
	FaultAt   = 120 * time.Second
	end       = 240 * time.Second
	herdRate  = 20
	surgeRate = 2
	floodRate = 6
)

// Loads returns every load of a site.
//
//	for _, load := range trace.Loads(trace.Kochi(), 1) {
//		run(load)
//	}
func Loads(site Site, seed uint64) []Load {
	return []Load{
		steady(site, seed), herd(site, seed, false), herd(site, seed, true), monsoon(site, seed), shift(site, seed),
		crash(site, seed), leave(site, seed), lagging(site, seed), flood(site, seed, true), flood(site, seed, false),
	}
}

// Names returns the names of the loads.
func Names() []string {
	return []string{"steady", "herd", "herdEmpty", "monsoon", "shift", "crash", "leaving", "lagging", "flood", "alone"}
}

func begin(site Site, seed uint64, name string) (*maker, Load) {
	m := &maker{site: site, random: rand.New(rand.NewPCG(seed, uint64(len(site.Name))))}
	return m, Load{
		Name: name, Site: site, From: WarmUp, To: end - defaultPatience,
		EventLag: steadyEventLag, ReportLag: steadyReportLag, StoreDownFrom: end + WarmUp,
	}
}

func (m *maker) day(from, to time.Duration, factor float64, lengths sheetLengths) {
	for _, a := range m.site.Apps {
		m.sessions(a, from, to, factor*a.part, lengths)
	}
}

func steady(site Site, seed uint64) Load {
	m, l := begin(site, seed, "steady")
	m.day(0, end, 1, site.lengths)
	l.Requests = m.finish(end)
	return l
}

// herd restarts all routers and lets every client ask within one second.
func herd(site Site, seed uint64, empty bool) Load {
	name := "herd"
	if empty {
		name = "herdEmpty"
	}
	m, l := begin(site, seed, name)
	m.day(0, end, 1, site.lengths)
	m.day(FaultAt, FaultAt+time.Second, herdRate, site.lengths)
	l.Faults = []Fault{Restart{At: FaultAt, EmptyEngines: empty}}
	l.StoreDownFrom = FaultAt
	l.From, l.To = FaultAt, FaultAt+time.Minute
	l.Requests = m.finish(end)
	return l
}

// monsoon doubles the load and triples the length of the sheets.
func monsoon(site Site, seed uint64) Load {
	m, l := begin(site, seed, "monsoon")
	m.day(0, end, 1, site.lengths)
	m.day(WarmUp, end-WarmUp, surgeRate-1, sheetLengths{3 * site.lengths.low, 3 * site.lengths.high})
	l.Requests = m.finish(end)
	return l
}

// shift makes half of the requests ask for a new material of one workspace.
func shift(site Site, seed uint64) Load {
	m, l := begin(site, seed, "shift")
	m.day(0, FaultAt, 1, site.lengths)
	m.day(FaultAt, end, 0.5, site.lengths)
	for _, a := range site.Apps {
		hot := *a.workspaces[0]
		hot.materials = []part{{id: 9999, tokens: 12000}}
		a.workspaces = []*workspace{&hot}
		m.sessions(a, FaultAt, end, a.part/2, site.lengths)
	}
	l.Requests = m.finish(end)
	return l
}

func crash(site Site, seed uint64) Load {
	m, l := begin(site, seed, "crash")
	m.day(0, end, 1, site.lengths)
	engines := site.Apps[0].Engines
	l.Faults = []Fault{
		Crash{At: FaultAt, Engine: engines[0].Name, Down: 5 * time.Second},
		Crash{At: FaultAt + 20*time.Second, Engine: engines[1].Name, Down: 5 * time.Second},
	}
	l.From, l.To = FaultAt, FaultAt+time.Minute
	l.Requests = m.finish(end)
	return l
}

func leave(site Site, seed uint64) Load {
	m, l := begin(site, seed, "leaving")
	m.day(0, end, 1, site.lengths)
	l.Faults = []Fault{Leave{At: FaultAt, Engine: site.Apps[0].Engines[0].Name, Lag: 2 * time.Second}}
	l.From, l.To = FaultAt, FaultAt+time.Minute
	l.Requests = m.finish(end)
	return l
}

// lagging delays and loses what engines tell.
func lagging(site Site, seed uint64) Load {
	l := steady(site, seed)
	l.Name = "lagging"
	l.EventLag, l.EventLoss, l.ReportLag = 5*time.Second, 0.3, 3*time.Second
	return l
}

// flood lets the largest workspace send a multiple of its usual load beside
// the small ones; without the others' flood the small ones are alone.
func flood(site Site, seed uint64, flooding bool) Load {
	name := "alone"
	if flooding {
		name = "flood"
	}
	m, l := begin(site, seed, name)
	for _, a := range site.Apps {
		small := a
		small.workspaces = a.workspaces[3:]
		m.sessions(small, 0, end, a.part/4, site.lengths)
	}
	if flooding {
		for _, a := range site.Apps {
			large := a
			large.workspaces = a.workspaces[:1]
			m.sessions(large, WarmUp, end, floodRate*a.part, site.lengths)
		}
	}
	l.Requests = m.finish(end)
	return l
}
