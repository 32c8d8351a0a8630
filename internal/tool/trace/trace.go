// Package trace makes the seeded loads on which routing decisions are measured:
// who asks what and when, and what fails meanwhile. The same seed gives the
// same load on every run.
package trace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/job"
)

// Request is one request of a load.
type Request struct {
	// At is the time of its arrival since the start of the load.
	At time.Duration
	// Job is the request as routers see it.
	Job job.Job
	// Output is the length of the answer in tokens.
	Output int
	// Router is the number of the router that the balancer picks.
	Router int
}

// Load is a whole load with its faults.
type Load struct {
	// Name is the name of the load.
	Name string
	// Site is the deployment that it runs on.
	Site Site
	// Requests are the requests by time of arrival.
	Requests []Request
	// Faults are the faults by time.
	Faults []Fault
	// From and To bound the arrivals whose figures count.
	From, To time.Duration
	// EventLag is how late cache events arrive.
	EventLag time.Duration
	// EventLoss is the part of the cache events that is lost.
	EventLoss float64
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// StoreDownFrom is when the KV store goes away.
	StoreDownFrom time.Duration
}

// Routers is the number of routers behind the balancer.
const Routers = 8

// maker draws a load from a seed.
type maker struct {
	site     Site
	random   *rand.Rand
	requests []Request
	sheets   uint64
}

const (
	// meanGap is the mean time between two questions on one sheet.
	meanGap = 8 * time.Second
	// meanAsked is the mean number of questions on one sheet.
	meanAsked = 4
	// shortPart is the part of the sessions that are one short question.
	shortPart       = 0.6
	minQuestion     = 50
	maxQuestion     = 600
	minOutput       = 20
	maxOutput       = 150
	batchPart       = 0.1
	defaultPatience = 30 * time.Second
	steadyEventLag  = 500 * time.Millisecond
	steadyReportLag = time.Second
	materialSkew    = 0.5
	firstSheet      = 1 << 20
)

// sheetLengths bound the length of the sheets of a session, in tokens.
type sheetLengths struct{ low, high int }

// sessions adds the sessions of one application between two times at a rate of
// requests a second.
func (m *maker) sessions(a App, from, to time.Duration, rate float64, lengths sheetLengths) {
	perSession := shortPart + (1-shortPart)*meanAsked
	gap := float64(time.Second) * perSession / rate
	for at := from; ; {
		at += time.Duration(m.random.ExpFloat64() * gap)
		if at >= to {
			return
		}
		m.session(a, at, lengths)
	}
}

func (m *maker) session(a App, at time.Duration, lengths sheetLengths) {
	w := m.workspace(a)
	material := m.material(w)
	if m.random.Float64() < shortPart {
		m.ask(a, w, at, []part{w.common, material})
		return
	}
	sheet := m.sheet(lengths)
	for {
		m.ask(a, w, at, []part{w.common, material, sheet})
		if m.random.Float64() < 1.0/meanAsked {
			return
		}
		at += time.Duration(m.random.ExpFloat64() * float64(meanGap))
	}
}

func (m *maker) sheet(lengths sheetLengths) part {
	m.sheets++
	return part{id: firstSheet + m.sheets, tokens: lengths.low + m.random.IntN(lengths.high-lengths.low)}
}

func (m *maker) workspace(a App) *workspace {
	total := 0.0
	for _, w := range a.workspaces {
		total += w.traffic
	}
	at := m.random.Float64() * total
	for _, w := range a.workspaces {
		if at -= w.traffic; at <= 0 {
			return w
		}
	}
	return a.workspaces[len(a.workspaces)-1]
}

// material draws from materials of which each is asked half as often as the
// one before.
func (m *maker) material(w *workspace) part {
	for _, material := range w.materials[:len(w.materials)-1] {
		if m.random.Float64() < materialSkew {
			return material
		}
	}
	return w.materials[len(w.materials)-1]
}

// ask adds one request whose prompt is the given parts and a question.
func (m *maker) ask(a App, w *workspace, at time.Duration, parts []part) {
	question := part{id: m.random.Uint64(), tokens: minQuestion + m.random.IntN(maxQuestion-minQuestion)}
	parts = append(slices.Clone(parts), question)
	class := "interactive"
	if m.random.Float64() < batchPart {
		class = "batch"
	}
	m.requests = append(m.requests, Request{
		At: at, Router: m.random.IntN(Routers), Output: minOutput + m.random.IntN(maxOutput-minOutput),
		Job: job.Job{
			Workspace: w.name, Class: class, Share: w.share, Application: a.Name, Model: "quay-7b", WeightVersion: "1",
			Blocks: hash(w.name, a.Name, parts), BlockTokens: BlockTokens, PromptTokens: length(parts),
			Deadline: defaultPatience, Fingerprint: question.id,
		},
	})
}

// finish sorts the requests by time and names them.
func (m *maker) finish(end time.Duration) []Request {
	m.requests = slices.DeleteFunc(m.requests, func(r Request) bool { return r.At >= end })
	slices.SortStableFunc(m.requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	for i := range m.requests {
		m.requests[i].Job.ID = name(i)
	}
	return m.requests
}
