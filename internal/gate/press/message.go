package press

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/queue"
)

// Figures are the waiting work at one rank. They are integers, so that sums stay exact
// when parts of them are taken off again.
type Figures struct {
	_ struct{} `cbor:",toarray"`
	// Requests is the number of waiting requests.
	Requests int `json:"requests"`
	// Work is their work, Late the part of it whose answers will be late.
	Work int `json:"work"`
	Late int `json:"late,omitempty"`
	// Arrived is the work of new requests, Started that of requests sent to targets, both
	// in thousandths a second.
	Arrived int `json:"arrived,omitempty"`
	Started int `json:"started,omitempty"`
}

func (f Figures) plus(o Figures) Figures {
	return Figures{
		Requests: f.Requests + o.Requests, Work: f.Work + o.Work, Late: f.Late + o.Late,
		Arrived: f.Arrived + o.Arrived, Started: f.Started + o.Started,
	}
}

func (f Figures) minus(o Figures) Figures {
	return Figures{
		Requests: f.Requests - o.Requests, Work: f.Work - o.Work, Late: f.Late - o.Late,
		Arrived: f.Arrived - o.Arrived, Started: f.Started - o.Started,
	}
}

// clean returns the figures of a report without values that can't be right.
func (f Figures) clean() Figures {
	f.Requests, f.Work, f.Arrived, f.Started = max(f.Requests, 0), max(f.Work, 0), max(f.Arrived, 0), max(f.Started, 0)
	f.Late = min(max(f.Late, 0), f.Work)
	return f
}

type ranks [queue.Ranks]Figures

func (r ranks) plus(o ranks) ranks {
	for i := range r {
		r[i] = r[i].plus(o[i])
	}
	return r
}

func (r ranks) minus(o ranks) ranks {
	for i := range r {
		r[i] = r[i].minus(o[i])
	}
	return r
}

// Report is the pressure that one node reports to another: the figures by pool and rank,
// without the last ranks that have none.
type Report map[string][]Figures

// Request is a request that no target takes now.
type Request struct {
	// Pool names the targets that may take it.
	Pool string
	// Rank is its urgency; 0 is the highest.
	Rank int
	// Need is the time from its start at a target to the first token or the answer.
	Need time.Duration
	// Objective is the latency objective.
	Objective time.Duration
	// ObjectiveLeft is the time until its answer is late, TimeLeft the time until the
	// client gives up.
	ObjectiveLeft, TimeLeft time.Duration
}

// Decision is what to do with a [Request]: one of [Queue] or [Reject].
type Decision interface{ decision() }

// Queue lets the request wait.
type Queue struct{ Basis }

// Reject turns the request away.
type Reject struct {
	Basis
	// Reason is a short text for logs.
	Reason string
	// RetryAfter is the pause to ask of the client.
	RetryAfter time.Duration
}

// Basis is what a decision is based on.
type Basis struct {
	// Wait is the estimated time in the queue.
	Wait time.Duration
	// Level is the rank from which on requests are rejected; [queue.Ranks] if none.
	Level int
	// Age is the age of the oldest report.
	Age time.Duration
}

func (Queue) decision()  {}
func (Reject) decision() {}
