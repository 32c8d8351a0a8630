package pick

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/call"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/gate/timing"
)

// Request describes a request that needs a target.
type Request struct {
	// Service is the service that answers.
	Service string
	// Prompt describes the work of a model request.
	Prompt call.Prompt
	// Workspace is the name of the workspace; empty for none. The configuration in force
	// when a target is chosen decides with whom it shares cached parts.
	Workspace string
	// Idempotent is true when the request may run more than once.
	Idempotent bool
	// Excluded are the IDs of targets that have failed this request.
	Excluded []string
	// ObjectiveLeft is the time left until the answer is late.
	ObjectiveLeft time.Duration
	// Objective is the latency objective of the request, counted from its arrival.
	Objective time.Duration
	// LongestPause is the longest pause between two events that is on time; zero if
	// none is declared.
	LongestPause time.Duration
	// ClientTimeLeft is the time left until the client times out.
	ClientTimeLeft time.Duration
	// Rank is the rank of the request; 0 is the most urgent.
	Rank int
}

// Decision is the decision about a [Request]: one of [Dispatch], [Wait] or [Refuse].
type Decision interface{ decision() }

// Dispatch sends the request to a target.
type Dispatch struct {
	Target roster.Target
	// Version is the weight version that the target serves; zero for plain targets.
	Version uint64
	// Scope is the namespace of the request's parts in the target's cache.
	Scope string
	// FetchFrom is the address to copy cached parts from; empty for none.
	FetchFrom string
	// SaveTo is the address of a store to copy the parts to; empty for none.
	SaveTo string
	// Shared is the number of prompt tokens in parts that other requests may share.
	Shared int
	// Cached is the estimated number of prompt tokens cached at the target.
	Cached int
	// Fetched is the estimated number of prompt tokens to copy from FetchFrom.
	Fetched int
	// Expected is the estimated time to the first token, or to the answer of a
	// plain target.
	Expected time.Duration
	// Load is the estimated load of the target.
	Load Load
	// Age is the age of the oldest peer report in Load.
	Age time.Duration
	// Ahead is the work that is known to be ahead of the request, as a number of prompt
	// tokens.
	Ahead int
	// CopyTime is the estimated time to copy the parts in Fetched.
	CopyTime time.Duration
	// PrefillTime is the estimated time to process the request's own tokens, and Base the
	// time from then to the first token.
	PrefillTime, Base time.Duration
	// Slowness is how many times longer the target takes than others of its service;
	// below one for a fast one.
	Slowness float64
	// ReplacedFor is the time since a newer version than Version was announced; zero
	// if none was.
	ReplacedFor time.Duration
	// BeginBy is when the request must have begun to run, since Version may not answer
	// later; zero if there is no limit.
	BeginBy time.Time
	// Holder is the engine that was considered for the parts that it holds.
	Holder Holder
	// away is why the target is in another data centre; empty if it isn't.
	away string
}

// Holder is the cheapest of the engines that hold the most of a prompt's shared parts, as
// far as they were considered. It is empty if none of them holds any.
type Holder struct {
	// Target is the engine's ID.
	Target string
	// Tokens is the number of shared tokens that it holds.
	Tokens int
	// Expected is the estimated time to the first token there.
	Expected time.Duration
	// Overloaded is true if it could not take the request without making it or later ones
	// late.
	Overloaded bool
}

// Wait means that no target can take the request now, but that one may soon.
type Wait struct {
	// Reason is a short text for logs.
	Reason string
	// After is the estimated time until a target is free; zero if unknown.
	After time.Duration
}

// Refuse means that the request can't be answered in time.
type Refuse struct {
	// Reason is a short text for logs.
	Reason string
	// RetryAfter is the pause to ask of the client.
	RetryAfter time.Duration
	// Firm is true when no earlier request can be answered.
	Firm bool
}

func (Dispatch) decision() {}
func (Wait) decision()     {}
func (Refuse) decision()   {}

// Load is the load of a target.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Running is the number of requests.
	Running int `json:"running"`
	// Prefill is the number of prompt tokens that still need prefill.
	Prefill int `json:"prefill,omitempty"`
	// Memory is the number of tokens for which the requests reserve memory.
	Memory int `json:"memory,omitempty"`
}

func (c Load) plus(d Load) Load {
	return Load{Running: c.Running + d.Running, Prefill: c.Prefill + d.Prefill, Memory: c.Memory + d.Memory}
}

func (c Load) minus(d Load) Load {
	return Load{Running: c.Running - d.Running, Prefill: c.Prefill - d.Prefill, Memory: c.Memory - d.Memory}
}

// Placement reports that a part of a prompt was placed in a target's cache, is
// cached there or was evicted.
type Placement struct {
	_ struct{} `cbor:",toarray"`
	// Part is the hash of the part with its model and scope.
	Part uint64 `json:"part"`
	// Tokens is the part's length; zero with Confirmed means that it was evicted.
	Tokens int `json:"tokens"`
	// Target is the name of the target or store.
	Target string `json:"target"`
	// Confirmed is true when the cache itself reported this.
	Confirmed bool `json:"sure,omitempty"`
}

// CacheEvent is what a cache itself reports about one part.
type CacheEvent struct {
	// Model and Scope are those of the request that the part was computed for.
	Model, Scope string
	// ID identifies the part's text.
	ID string
	// Tokens is how many of its tokens are cached now; zero when it was evicted.
	Tokens int
}

// Report is the load and cache state that one node sends to another.
type Report struct {
	// Work is the load by target ID.
	Work map[string]Load `json:"work,omitempty"`
	// Parts are the changes of cache contents since the last report.
	Parts []Placement `json:"parts,omitempty"`
	// Timing tells how long targets took lately; see [Picker.ReportTiming].
	Timing timing.Report `json:"timing"`
	// ReportAges is the age of the newest report of each data centre's nodes.
	ReportAges map[string]time.Duration `json:"reportAges,omitempty"`
	// Versions are the weight versions in the targets' answers, by target ID.
	Versions map[string]ObservedVersion `json:"versions,omitempty"`
}

// ObservedVersion is the weight version observed at one instance of a target.
type ObservedVersion struct {
	// Born is the start time of the instance in Unix milliseconds.
	Born  int64  `json:"born,omitempty"`
	Model string `json:"model"`
	// Version is the version of the model's weights.
	Version uint64 `json:"version"`
}

// AnnouncedVersion is an announced version of a model's weights.
type AnnouncedVersion struct {
	Version uint64 `json:"version"`
	// Age is the time since the announcement. It is too small if this node received
	// the announcement late and no peer has reported a larger age yet.
	Age time.Duration `json:"ageNanos"`
	// Guess is true if nobody known saw the announcement itself: Age is a bound then.
	Guess bool `json:"guess,omitempty"`
}
