package pick

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/route/place"
)

const (
	// maxPeerAge is the age at which a peer's load report is dropped: twelve report
	// intervals.
	maxPeerAge = 1500 * time.Millisecond
	// failureWeight is the weight of the last answer in the failure rate.
	failureWeight = 0.2
	// suspectTime is how long a target that didn't answer gets no requests that
	// could be lost. Each further failure doubles it, up to maxSuspectTime.
	suspectTime    = time.Second
	maxSuspectTime = 4 * time.Second
)

// target is this node's view of one target.
type target struct {
	roster.Target
	rank    place.Target
	engines *plan.Engines
	own     Load
	// pending are the runs of this node that have had no first token.
	pending []*Run
	peers   map[string]peerLoad
	// peerSum is the load reported by all peers, childSum that reported by this
	// node's children; oldest is the time of the oldest report.
	peerSum, childSum Load
	oldest            time.Time
	// smoothPrefill is the moving average of the prefill work in peerSum.
	smoothPrefill float64
	cache         *cacheIndex
	draining      bool
	fullUntil     time.Time
	suspectUntil  time.Time
	unanswered    int
	failureRate   float64
	// backlog is a moving average of the prompt tokens that wait for prefill.
	backlog   float64
	backlogAt time.Time
}

type peerLoad struct {
	load  Load
	at    time.Time
	child bool
}

func newTarget(t roster.Target, engines *plan.Engines) *target {
	fresh := &target{
		Target: t, rank: place.Target{Name: t.ID, Hash: place.Hash(t.ID), Weight: 1},
		engines: engines, peers: map[string]peerLoad{},
	}
	fresh.resetCache()
	return fresh
}

// resetCache clears the estimated cache contents.
func (t *target) resetCache() {
	capacity := 0
	if t.engines != nil {
		capacity = t.engines.CacheTokens
	}
	t.cache = newCacheIndex(capacity)
}

// load returns the load of all nodes on the target and the age of the oldest report
// in it.
func (t *target) load(now time.Time) (Load, time.Duration) {
	if len(t.peers) == 0 {
		return t.own, 0
	}
	return t.own.plus(t.peerSum), now.Sub(t.oldest)
}

// loadFor returns the load to report to a recipient. A child gets the load of all
// nodes but its own, others get that of this node and its children.
func (t *target) loadFor(now time.Time, to oplog.Recipient) Load {
	own := t.own
	own.Prefill = t.ownPrefill(now)
	if to.Child {
		return own.plus(t.peerSum).minus(t.peers[to.Node].load)
	}
	return own.plus(t.childSum)
}

// ownPrefill returns the prompt tokens of this node's requests that the target still has
// to process, as far as the estimates tell.
func (t *target) ownPrefill(now time.Time) int {
	left := 0
	for _, run := range t.pending {
		left += run.prefillLeft(now)
	}
	return left
}

// setPeer replaces the load reported by a peer.
func (t *target) setPeer(peer string, next peerLoad) {
	t.dropPeer(peer)
	t.peers[peer] = next
	t.peerSum = t.peerSum.plus(next.load)
	if next.child {
		t.childSum = t.childSum.plus(next.load)
	}
}

// dropPeer removes the load reported by a peer.
func (t *target) dropPeer(peer string) {
	old, known := t.peers[peer]
	if !known {
		return
	}
	t.peerSum = t.peerSum.minus(old.load)
	if old.child {
		t.childSum = t.childSum.minus(old.load)
	}
	delete(t.peers, peer)
}

// expire drops the reports of peers that are too old.
func (t *target) expire(now time.Time) {
	t.oldest = now
	for peer, h := range t.peers {
		if now.Sub(h.at) > maxPeerAge {
			t.dropPeer(peer)
			continue
		}
		if h.at.Before(t.oldest) {
			t.oldest = h.at
		}
	}
}

// recordFailure counts a failed request; silent means that the target did not
// answer at all.
func (t *target) recordFailure(now time.Time, silent bool) {
	t.failureRate += (1 - t.failureRate) * failureWeight
	if silent {
		t.suspectUntil = now.Add(min(suspectTime<<min(t.unanswered, 8), maxSuspectTime))
		t.unanswered++
	}
}

func (t *target) recordSuccess() {
	t.failureRate -= t.failureRate * failureWeight
	t.suspectUntil = time.Time{}
	t.unanswered = 0
}

// update applies a newer entry of the list. If the instance is a new one, load,
// cache contents and failures of the previous one are discarded.
func (t *target) update(next roster.Target, engines *plan.Engines) {
	if t.Born != next.Born || t.Address != next.Address {
		*t = *newTarget(next, engines)
		return
	}
	for model, version := range t.Versions {
		if next.Versions != nil && next.Versions[model] < version {
			next.Versions[model] = version
		}
	}
	for model, version := range next.Versions {
		if t.Versions[model] != version {
			t.resetCache()
		}
	}
	t.Target, t.engines = next, engines
}
