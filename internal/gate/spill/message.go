package spill

import "time"

// Kind is a kind of request with its own share.
type Kind int

// Kinds of requests.
const (
	// Plain is a request to a service without model engines.
	Plain Kind = iota
	// ShortPrompt and LongPrompt are requests to model engines.
	ShortPrompt
	LongPrompt
)

// String returns the kind as a label of metrics and log lines.
func (k Kind) String() string {
	switch k {
	case ShortPrompt:
		return "short"
	case LongPrompt:
		return "long"
	default:
		return "plain"
	}
}

// Site is the capacity and load of all targets of one service in one data centre.
// Work is measured in seconds of a target of usual speed.
type Site struct {
	// Rate is the work that the targets complete per second, so it is the number of
	// targets of usual speed that they are equivalent to.
	Rate float64
	// Work is the work that all hosts have sent there and that has not been completed.
	Work float64
	// Waiting is the work that hosts of the data centre hold because no target can
	// take it.
	Waiting float64
	// Occupied is the share of the places for requests (slots or memory) in use.
	Occupied float64
	// Hold is the time for which a request occupies a place.
	Hold time.Duration
	// Age is the age of the oldest load report in the figures.
	Age time.Duration
	// Unknown is true when the hosts of the data centre cannot be reached, so that the
	// load which they cause is missing.
	Unknown bool
}

// Demand describes the requests of one kind as callers need them.
type Demand struct {
	Kind Kind
	// Objective is the time after which a response is late.
	Objective time.Duration
	// Rank is the rank of the requests; 0 is the most urgent.
	Rank int
	// Bytes is the size of a prompt and its response on the wire.
	Bytes float64
	// PartTime is the time to prefill or copy the prompt parts that a target in the
	// other data centre lacks and one here has.
	PartTime time.Duration
}

// Reason is why a share has its value.
type Reason string

// Reasons for a share.
const (
	// Gain means that requests are answered sooner in the other data centre.
	Gain Reason = "gain"
	// NoGain means that sending costs at least as much time as it gains.
	NoGain Reason = "noGain"
	// NoRoom means that the other data centre needs its capacity for its own and for
	// more urgent requests.
	NoRoom Reason = "noRoom"
	// Stale means that figures are missing or too old.
	Stale Reason = "stale"
	// NoTarget means that the other data centre has no target that takes requests.
	NoTarget Reason = "noTarget"
)

// Reasons are all reasons.
var Reasons = []Reason{Gain, NoGain, NoRoom, Stale, NoTarget}

// Share is the share of a kind of requests that goes to another data centre, with the
// inputs that it was computed from.
type Share struct {
	Service string
	Kind    Kind
	// To is the other data centre.
	To     string
	Share  float64
	Reason Reason
	// HomeWait and AwayWait are the waiting times here and there.
	HomeWait, AwayWait time.Duration
	// Cost is the cost of sending, as time.
	Cost time.Duration
	// HomeAge and AwayAge are the ages of the figures.
	HomeAge, AwayAge time.Duration
}
