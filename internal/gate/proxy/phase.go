package proxy

import "sync/atomic"

// cause is why this node cancelled an attempt; zero if it didn't.
type cause int32

// The causes.
const (
	// replacedWeights: the request may no longer begin on the target's weights.
	replacedWeights cause = iota + 1
	// deadlyRequest: requests like this one crash targets.
	deadlyRequest
	// silentTarget: the headers took too long.
	silentTarget
	// changedScope: the cache scope of the workspace has changed.
	changedScope
)

// String returns the cause as it is logged.
func (c cause) String() string {
	switch c {
	case replacedWeights:
		return "not begun on weights that may answer"
	case deadlyRequest:
		return "not begun before requests like it were refused"
	case silentTarget:
		return "no headers in time"
	case changedScope:
		return "not begun before the cache scope changed"
	}
	return ""
}

// begun is the phase of an attempt whose headers have arrived.
const begun = -1

// phase is how far an attempt has come: waiting for its headers (zero), begun, or
// cancelled with a cause before that. It changes once, so that an attempt that has begun
// is never cancelled, and nothing of one that was cancelled reaches the client.
type phase struct{ value atomic.Int32 }

// begin reports whether the attempt has begun, since it was not cancelled before.
func (p *phase) begin() bool { return p.value.CompareAndSwap(0, begun) }

// cancel reports whether the attempt is cancelled, since it had not begun.
func (p *phase) cancel(why cause) bool { return p.value.CompareAndSwap(0, int32(why)) }

// cause returns why the attempt was cancelled; zero if it wasn't.
func (p *phase) cause() cause { return cause(max(p.value.Load(), 0)) }

// cancelWaiting cancels the attempt unless its headers have arrived.
func (s *attempt) cancelWaiting(why cause) {
	if s.phase.cancel(why) {
		s.cancel()
	}
}
