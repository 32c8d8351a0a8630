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
	peers   map[string]peerWork
	// peerSum is the load reported by all peers, groupSum that of the peers in this
	// node's group; oldest is the time of the oldest report.
	peerSum, groupSum Load
	oldest            time.Time
	cache             *cacheIndex
	draining          bool
	fullUntil         time.Time
	suspectUntil      time.Time
	unanswered        int
	failureRate       float64
}

type peerWork struct {
	count Load
	at    time.Time
	group bool
}

func newTarget(t roster.Target, engines *plan.Engines) *target {
	fresh := &target{
		Target: t, rank: place.Target{Name: t.ID, Hash: place.Hash(t.ID), Weight: 1},
		engines: engines, peers: map[string]peerWork{},
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

// work returns the load of all nodes at the target and the age of the oldest report
// in it.
func (t *target) work(now time.Time) (Load, time.Duration) {
	if len(t.peers) == 0 {
		return t.own, 0
	}
	return t.own.plus(t.peerSum), now.Sub(t.oldest)
}

// workFor returns the load to report to an audience.
func (t *target) workFor(to oplog.Recipient) Load {
	if to.Child {
		return t.own.plus(t.peerSum).minus(t.peers[to.Node].count)
	}
	return t.own.plus(t.groupSum)
}

// setPeer replaces the load reported by a peer.
func (t *target) setPeer(peer string, next peerWork) {
	t.dropPeer(peer)
	t.peers[peer] = next
	t.peerSum = t.peerSum.plus(next.count)
	if next.group {
		t.groupSum = t.groupSum.plus(next.count)
	}
}

// dropPeer removes the load reported by a peer.
func (t *target) dropPeer(peer string) {
	old, known := t.peers[peer]
	if !known {
		return
	}
	t.peerSum = t.peerSum.minus(old.count)
	if old.group {
		t.groupSum = t.groupSum.minus(old.count)
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

// update applies a newer entry of the list. A new instance starts with an empty
// view.
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
