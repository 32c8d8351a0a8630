// Package synth generates the synthetic loads on which routing decisions are
// measured: the requests with their arrival times, and the faults that occur
// during the run. The same seed always generates the same load.
package synth

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/job"
)

// Request is one request of a load.
type Request struct {
	// At is the arrival time, relative to the start of the load.
	At time.Duration
	// Job is the request as the routers receive it.
	Job job.Job
	// OutputTokens is the length of the response in tokens.
	OutputTokens int
	// Router is the index of the router that the load balancer picks.
	Router int
}

// Load is a sequence of requests to a deployment and the faults that occur
// meanwhile.
type Load struct {
	// Name identifies the load, see [LoadNames].
	Name string
	// Site is the deployment that receives the requests.
	Site Site
	// Requests are sorted by arrival time.
	Requests []Request
	// Faults are sorted by time.
	Faults []Fault
	// MeasureFrom and MeasureTo delimit the measured interval: only requests that
	// arrive in it count.
	MeasureFrom, MeasureTo time.Duration
	// EventLag is the delay of cache events.
	EventLag time.Duration
	// EventLoss is the fraction of cache events that are lost.
	EventLoss float64
	// ReportLag is the delay of load reports.
	ReportLag time.Duration
	// StoreDownFrom is the time from which the KV store is unavailable.
	StoreDownFrom time.Duration
}

// RouterCount is the number of routers behind the balancer.
const RouterCount = 8

// generator generates the requests of a load from a seeded random source.
type generator struct {
	site     Site
	random   *rand.Rand
	requests []Request
	sheets   uint64
}

const (
	// meanQuestionGap is the mean time between two questions on the same sheet.
	meanQuestionGap = 8 * time.Second
	// meanQuestions is the mean number of questions on a sheet.
	meanQuestions = 4
	// shortFraction is the fraction of sessions that consist of a single question
	// without a sheet.
	shortFraction = 0.6
	// minQuestion and maxQuestion bound the length of a question in tokens.
	minQuestion = 50
	maxQuestion = 600
	// minOutput and maxOutput bound the length of a response in tokens.
	minOutput = 20
	maxOutput = 150
	// batchFraction is the fraction of requests of class "batch".
	batchFraction    = 0.1
	requestDeadline  = 30 * time.Second
	defaultEventLag  = 500 * time.Millisecond
	defaultReportLag = time.Second
	// materialSkew is the probability that a material is chosen over all that
	// follow it.
	materialSkew = 0.5
	// firstSheetID keeps the IDs of sheets apart from those of other segments.
	firstSheetID = 1 << 20
)

// sheetLengths are the bounds of the length of a sheet, in tokens. A sheet is a
// document that only the prompts of one session share.
type sheetLengths struct{ low, high int }

// addSessions adds the sessions of one application that start between two times,
// at a rate in requests per second.
func (g *generator) addSessions(a App, from, to time.Duration, rate float64, lengths sheetLengths) {
	perSession := shortFraction + (1-shortFraction)*meanQuestions
	gap := float64(time.Second) * perSession / rate
	for at := from; ; {
		at += time.Duration(g.random.ExpFloat64() * gap)
		if at >= to {
			return
		}
		g.addSession(a, at, lengths)
	}
}

// addSession adds a session: a single short question, or questions on one sheet.
func (g *generator) addSession(a App, at time.Duration, lengths sheetLengths) {
	w := g.pickWorkspace(a)
	material := g.pickMaterial(w)
	if g.random.Float64() < shortFraction {
		g.addRequest(a, w, at, []segment{w.commonPrefix, material})
		return
	}
	sheet := g.newSheet(lengths)
	for {
		g.addRequest(a, w, at, []segment{w.commonPrefix, material, sheet})
		if g.random.Float64() < 1.0/meanQuestions {
			return
		}
		at += time.Duration(g.random.ExpFloat64() * float64(meanQuestionGap))
	}
}

func (g *generator) newSheet(lengths sheetLengths) segment {
	g.sheets++
	return segment{id: firstSheetID + g.sheets, tokens: lengths.low + g.random.IntN(lengths.high-lengths.low)}
}

// pickWorkspace picks a workspace at random, in proportion to traffic.
func (g *generator) pickWorkspace(a App) *workspace {
	total := 0.0
	for _, w := range a.workspaces {
		total += w.traffic
	}
	at := g.random.Float64() * total
	for _, w := range a.workspaces {
		if at -= w.traffic; at <= 0 {
			return w
		}
	}
	return a.workspaces[len(a.workspaces)-1]
}

// pickMaterial picks a material at random. Each is half as frequent as the one
// before it, except for the last two, which are equally frequent.
func (g *generator) pickMaterial(w *workspace) segment {
	for _, material := range w.materials[:len(w.materials)-1] {
		if g.random.Float64() < materialSkew {
			return material
		}
	}
	return w.materials[len(w.materials)-1]
}

// addRequest adds a request whose prompt consists of the given segments and a
// new question.
func (g *generator) addRequest(a App, w *workspace, at time.Duration, segments []segment) {
	question := segment{id: g.random.Uint64(), tokens: minQuestion + g.random.IntN(maxQuestion-minQuestion)}
	segments = append(slices.Clone(segments), question)
	class := "interactive"
	if g.random.Float64() < batchFraction {
		class = "batch"
	}
	g.requests = append(g.requests, Request{
		At: at, Router: g.random.IntN(RouterCount), OutputTokens: minOutput + g.random.IntN(maxOutput-minOutput),
		Job: job.Job{
			Workspace: w.name, Class: class, Share: w.share, Application: a.Name, Model: "quay-7b", WeightVersion: "1",
			Blocks: hashBlocks(w.name, a.Name, segments), BlockTokens: BlockTokens, PromptTokens: totalTokens(segments),
			Deadline: requestDeadline, Fingerprint: question.id,
		},
	})
}

// sortedRequests drops the requests from end onwards, sorts the others by
// arrival time and assigns their IDs.
func (g *generator) sortedRequests(end time.Duration) []Request {
	g.requests = slices.DeleteFunc(g.requests, func(r Request) bool { return r.At >= end })
	slices.SortStableFunc(g.requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	for i := range g.requests {
		g.requests[i].Job.ID = requestID(i)
	}
	return g.requests
}
