// Package poison detects requests that crash one target after another, and parts of
// prompts that crash every target that begins to answer a request with them.
//
// When a target crashes, every request that it had not begun to answer with an event
// is a suspect, with its digest and with each part of its prompt. A feature that is
// suspect in several crashes and that no request survived since is blocked, provided
// that no other blocked feature explains these crashes.
//
// Unlike package crash it reserves no target to run a suspect alone: where there
// are few targets, which also crash for other reasons, that would cost more than
// it saves.
package poison

import (
	"iter"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// minCrashes is the number of episodes from which a feature is blocked.
	minCrashes = 2
	// minRequests is the number of different requests whose crashes are needed to
	// block a part.
	minRequests = 2
	// crashLifetime is how long a feature stays blocked after its last crash, and the
	// period before its last crash in which its crashes count.
	crashLifetime = 5 * time.Minute
	// detectionDelay is the maximum time between a broken connection and the
	// detection that its target crashed: slightly more than three registration
	// intervals of a target.
	detectionDelay = 8 * time.Second
	// mergeTolerance is the maximum difference between the times of a crash as
	// reported by two nodes.
	mergeTolerance = 500 * time.Millisecond
	// episodeGap is the maximum time between crashes of different targets that count
	// as one episode, because they may have a common cause.
	episodeGap = 400 * time.Millisecond
	// survivalDelay is how long a feature with survivors isn't blocked yet, so that
	// requests under way since its crashes can be answered.
	survivalDelay = 500 * time.Millisecond
	// trialInterval is the time from the last crash to the first trial of a blocked
	// feature.
	trialInterval = 10 * time.Second
	// trialBackoff is the factor between the intervals of successive trials.
	trialBackoff = 4
	// survivalLifetime is how long a survival is known to belong to a feature's
	// history.
	survivalLifetime = 24 * time.Hour
	// maxEntries is the maximum number of broken requests and of crashes.
	maxEntries = 4096
	// maxHistory is the maximum number of survivals of parts without a crash that a
	// joining node gets. It gets those of crashed ones with the crashes.
	maxHistory = 256
	// maxSuspects is the maximum number of features in all crashes.
	maxSuspects = 16 * maxEntries
	// maxSurvivals is the maximum number of parts, and of requests, whose latest
	// survival is remembered.
	maxSurvivals = 8 * maxEntries
	// maxParts is the maximum number of parts of a request that are considered.
	maxParts = 256
	// maxTargetLength is the maximum length in bytes of a target's ID from a peer.
	maxTargetLength = 256
)

// Request is what a counter knows of a request.
type Request struct {
	// Digest is a digest of the request's workspace, path and body.
	Digest uint64
	// Parts are the hashes of the shared parts of the prompt, outermost first, without
	// the last part, which is the request's own.
	Parts []uint64
}

// Crash is one request that broke in its beginning on a target that crashed, as
// exchanged between nodes. The time is sent as an age, because the clocks of two
// hosts may differ.
type Crash struct {
	// Request is the request's digest.
	Request uint64 `json:"request"`
	// Parts are the hashes of the request's parts, outermost first.
	Parts []uint64 `json:"parts,omitempty"`
	// Target is the target that crashed.
	Target string `json:"target"`
	// Age is the time since the crash.
	Age time.Duration `json:"ageNanos"`
	// Began is set if the headers of the response had arrived.
	Began bool `json:"began,omitempty"`
}

// Survival states that a target answered a request with a feature.
type Survival struct {
	// Feature is a request's digest or the hash of a part.
	Feature uint64 `json:"feature"`
	// Whole is set if Feature is the digest of a whole request.
	Whole bool `json:"whole,omitempty"`
	// Age is the time since the request began.
	Age time.Duration `json:"ageNanos"`
}

// Block is a feature whose requests are refused.
type Block struct {
	// Feature is a request's digest or the hash of a part.
	Feature uint64
	// Whole is set if Feature is the digest of a whole request.
	Whole bool
	// Crashes is the number of episodes in which the feature is a suspect.
	Crashes int
	// Since is the time of the crash from which the feature could be blocked.
	Since time.Time
}

// Counter counts the crashes of each feature. It is not safe for concurrent use.
type Counter struct {
	// broken holds the requests whose connections broke lately, by time.
	broken   []brokenRequest
	crashes  map[*crash]struct{}
	suspects map[feature]*suspect
	// parts and requests hold the time when the latest survivor of a feature began.
	parts, requests *simplelru.LRU[uint64, time.Time]
	// trials holds the times of this node's latest trials.
	trials map[feature]time.Time

	blocked map[feature]block
	// unexplained holds the features of crashes that no blocked feature explains.
	unexplained map[feature]struct{}
	// changed is set if blocked and unexplained must be computed again; they also
	// must from validUntil on.
	changed    bool
	validUntil time.Time
}

// feature is a request's digest or the hash of a part. They are kept apart, because
// they are different hashes.
type feature struct {
	hash  uint64
	whole bool
}

// New returns a counter without crashes.
//
//	counter := poison.New()
//	counter.ConnectionBroke(now, request, "engine-1", true)
//	crashes, survivals := counter.TargetCrashed(now, "engine-1")
//	sendToPeers(crashes, survivals)
//	if feature, refused := counter.Refused(now, request); refused {
//		refuse(feature)
//	}
func New() *Counter {
	parts, _ := simplelru.NewLRU[uint64, time.Time](maxSurvivals, nil)
	requests, _ := simplelru.NewLRU[uint64, time.Time](maxSurvivals, nil)
	return &Counter{
		crashes:  map[*crash]struct{}{},
		suspects: map[feature]*suspect{},
		parts:    parts,
		requests: requests,
		trials:   map[feature]time.Time{},
	}
}

// clone returns a copy without excess parts, which doesn't share memory with r.
func (r Request) clone() Request {
	return Request{Digest: r.Digest, Parts: slices.Clone(r.Parts[:min(len(r.Parts), maxParts)])}
}

// features yields the request's digest and its parts, with their positions in Parts
// and -1 for the digest.
func (r Request) features() iter.Seq2[int, feature] {
	return func(yield func(int, feature) bool) {
		if !yield(-1, feature{hash: r.Digest, whole: true}) {
			return
		}
		for i, part := range r.Parts[:min(len(r.Parts), maxParts)] {
			if !yield(i, feature{hash: part}) {
				return
			}
		}
	}
}
