package pick

import (
	"math"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/timing"
)

// unreportedTime is how long after the first report of another node the load of all
// others may still be missing: a report passes two nodes of a tree.
const unreportedTime = 450 * time.Millisecond

// smoothTime is the time constant of the average of the work that other nodes report at
// a target. Without it, all nodes choose the target that was idle in the last reports;
// with 500 ms, TestManyHostsDoNotHerd has 6 late answers in 100 instead of 3.
const smoothTime = 100 * time.Millisecond

// timed returns the target's instance.
func (t *target) timed() timing.Instance { return timing.Instance{ID: t.ID, Born: t.Born} }

// plainWorkAhead returns the work ahead of a request at a plain target that has the
// given number of requests for whom no slot is free, as a number of tokens. Negative
// numbers count as none.
func plainWorkAhead(e timing.Estimate, queued, slots int) int {
	if queued <= 0 {
		return 0
	}
	return int(int64(e.Base) * int64(queued) / int64(slots) / max(int64(e.PerToken), 1))
}

// peerWork is the assumption about the load of other nodes that have not reported yet.
type peerWork struct {
	// nodes is the number of nodes, including this one.
	nodes int
	// firstReport is when the first report of another node arrived.
	firstReport time.Time
	// smoothedAt is when the averages of the work of other nodes were last updated.
	smoothedAt time.Time
	// assumed is the load of other nodes to assume at each target of a service.
	assumed map[string]Load
}

// smoothPeerWork updates the averages of the work that other nodes report.
func (s *Picker) smoothPeerWork(now time.Time) {
	weight := 1 - math.Exp(-now.Sub(s.peers.smoothedAt).Seconds()/smoothTime.Seconds())
	if s.peers.firstReport.IsZero() {
		s.peers.firstReport = now
	}
	s.peers.smoothedAt = now
	for _, t := range s.targets {
		t.smoothPrefill += weight * (float64(t.peerSum.Prefill) - t.smoothPrefill)
	}
}

// workAhead returns the prompt tokens that are expected ahead of a request at a target.
// The work of other nodes is an average: what they reported last has been done by the
// time that the request arrives, and other work has come, about as much as usual.
func (s *Picker) workAhead(now time.Time, t *target) int {
	peers := s.peers.assumed[t.Service].Prefill
	if len(t.peers) > 0 {
		peers = max(peers, int(t.smoothPrefill))
	}
	return t.ownPrefill(now) + peers
}

// SetNodes sets the number of nodes, including this one. Until other nodes report, each
// is assumed to have sent as much work as this one, because all may have started at the
// same time.
func (s *Picker) SetNodes(n int) {
	s.peers.nodes = n
	s.timing.SetNodes(n)
}

// assumeLoad updates the load that is assumed at the targets of a service.
func (s *Picker) assumeLoad(now time.Time, service string) {
	p := &s.peers
	if p.nodes <= 1 || !p.firstReport.IsZero() && now.Sub(p.firstReport) > unreportedTime {
		p.assumed = nil
		return
	}
	var own Load
	targets := s.services[service]
	for _, t := range targets {
		own = own.plus(t.own)
	}
	part := func(amount int) int { return amount * (p.nodes - 1) / max(len(targets), 1) }
	if p.assumed == nil {
		p.assumed = map[string]Load{}
	}
	p.assumed[service] = Load{Running: part(own.Running), Prefill: part(own.Prefill), Memory: part(own.Memory)}
}

// loadWithUnreported returns the load of all nodes on a target, with an assumption about
// those that have not reported yet, and the age of the oldest report in it.
func (s *Picker) loadWithUnreported(now time.Time, t *target) (Load, time.Duration) {
	load, age := t.load(now)
	assumed, ok := s.peers.assumed[t.Service]
	if !ok {
		return load, age
	}
	peers := load.minus(t.own)
	return t.own.plus(Load{
		Running: max(peers.Running, assumed.Running), Prefill: max(peers.Prefill, assumed.Prefill), Memory: max(peers.Memory, assumed.Memory),
	}), age
}

// overdueTime is how long after the expected time of its first token a request counts as
// unprocessed again.
const overdueTime = 30 * time.Millisecond

// prefillLeft returns the prompt tokens of a run that the target still has to process: all
// until its prefill is expected to begin, and again when its first token is overdue.
func (r *Run) prefillLeft(now time.Time) int {
	left := r.prefillEnd.Sub(now)
	switch {
	case now.Sub(r.expected) > overdueTime || left >= r.prefillTime:
		return r.load.Prefill
	case left <= 0:
		return 0
	default:
		return int(int64(r.load.Prefill) * int64(left) / int64(r.prefillTime))
	}
}

func (t *target) removePending(run *Run) {
	t.pending = slices.DeleteFunc(t.pending, func(p *Run) bool { return p == run })
}
