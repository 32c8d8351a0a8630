// Package pace finds targets that answer more slowly than others of their service,
// such as engines that throttle or share their hardware, from what all nodes observe.
//
// Nodes exchange sums rather than factors: one node alone sees too few answers of
// each target of a large service.
package pace

import (
	"math"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/oplog"
)

const (
	// bucketTime is the length of a bucket. Sums cover the current bucket and the one
	// before.
	bucketTime = time.Second
	// refreshInterval is the minimum time between two computations of the factors.
	refreshInterval = 200 * time.Millisecond
	// reportInterval is the minimum time between two reports to the same node.
	reportInterval = 400 * time.Millisecond
	// maxReportAge is the age at which the report of a node is dropped.
	maxReportAge = 1500 * time.Millisecond
	// priorMillis is the weight of the assumption that a target is as fast as the
	// others, as milliseconds of expected time.
	priorMillis = 150
	// minEvidenceMillis is the expected time from which a sum counts as evidence.
	minEvidenceMillis = 60
	// noiseFactor is the largest factor that counts as noise.
	noiseFactor = 1.5
	maxFactor   = 8
	// forgetTime is the time constant with which a factor returns to one while there is
	// no evidence, because a slow target may get no work.
	forgetTime = 3 * time.Second
)

// Sum adds up answers of one target.
type Sum struct {
	_ struct{} `cbor:",toarray"`
	// ExpectedMillis is the time that the answers should have taken by the estimates
	// for the service.
	ExpectedMillis int `json:"expectedMillis"`
	// TookMillis is the time that they took.
	TookMillis int `json:"tookMillis"`
}

func (s Sum) plus(o Sum) Sum {
	return Sum{ExpectedMillis: s.ExpectedMillis + o.ExpectedMillis, TookMillis: s.TookMillis + o.TookMillis}
}

func (s Sum) ratio() float64 { return float64(s.TookMillis) / float64(s.ExpectedMillis) }

// peerReport is the last report of another node.
type peerReport struct {
	sums  map[string]Sum
	at    time.Time
	child bool
}

// Tracker keeps the factors of all targets. It is not safe for concurrent use.
type Tracker struct {
	services map[string][]string

	bucketStart     time.Time
	bucket, earlier map[string]Sum
	peers           map[string]peerReport
	reportedAt      map[string]time.Time

	refreshedAt time.Time
	factors     map[string]float64
}

// New returns a tracker without targets.
//
//	tracker := pace.New()
//	tracker.SetTargets(map[string][]string{"engines": {"e1", "e2"}})
//	tracker.Observe(now, "e1", 100*time.Millisecond, 400*time.Millisecond)
//	expected = time.Duration(tracker.Factor(now, "e1") * float64(expected))
func New() *Tracker {
	return &Tracker{
		bucket: map[string]Sum{}, earlier: map[string]Sum{}, peers: map[string]peerReport{},
		reportedAt: map[string]time.Time{}, factors: map[string]float64{},
	}
}

// SetTargets replaces the names of the targets of each service.
func (t *Tracker) SetTargets(services map[string][]string) {
	t.services = services
	known := map[string]bool{}
	for _, names := range services {
		for _, name := range names {
			known[name] = true
		}
	}
	for name := range t.factors {
		if !known[name] {
			t.Forget(name)
		}
	}
}

// Forget drops what is known of a target, which has started again.
func (t *Tracker) Forget(target string) {
	delete(t.bucket, target)
	delete(t.earlier, target)
	delete(t.factors, target)
}

// Observe adds an answer that this node received.
func (t *Tracker) Observe(now time.Time, target string, expected, took time.Duration) {
	t.rotate(now)
	seen := Sum{ExpectedMillis: int(expected.Milliseconds()), TookMillis: int(took.Milliseconds())}
	t.bucket[target] = t.bucket[target].plus(seen)
}

// rotate starts a new bucket when the current one is full.
func (t *Tracker) rotate(now time.Time) {
	age := now.Sub(t.bucketStart)
	if age < bucketTime {
		return
	}
	t.earlier = t.bucket
	if age >= 2*bucketTime {
		t.earlier = map[string]Sum{}
	}
	t.bucket, t.bucketStart = map[string]Sum{}, now
}

// Report returns the sums for a recipient; nil if the last report is still fresh. A
// child gets the sums of all nodes but its own, others get those of this node and its
// children.
func (t *Tracker) Report(now time.Time, to oplog.Recipient) map[string]Sum {
	if now.Sub(t.reportedAt[to.Node]) < reportInterval {
		return nil
	}
	t.reportedAt[to.Node] = now
	return t.total(now, func(node string, child bool) bool { return node != to.Node && (to.Child || child) })
}

// Apply replaces the report of another node.
func (t *Tracker) Apply(now time.Time, from oplog.Origin, sums map[string]Sum) {
	if sums != nil {
		t.peers[from.Node] = peerReport{sums: sums, at: now, child: from.Child}
	}
}

// DropPeer removes the report of a node.
func (t *Tracker) DropPeer(node string) {
	delete(t.peers, node)
	delete(t.reportedAt, node)
}

// total adds the reports of the selected nodes to this node's sums.
func (t *Tracker) total(now time.Time, include func(node string, child bool) bool) map[string]Sum {
	t.rotate(now)
	all := make(map[string]Sum, len(t.bucket))
	add := func(sums map[string]Sum) {
		for target, s := range sums {
			all[target] = all[target].plus(s)
		}
	}
	add(t.bucket)
	add(t.earlier)
	for node, r := range t.peers {
		switch {
		case now.Sub(r.at) > maxReportAge:
			t.DropPeer(node)
		case include(node, r.child):
			add(r.sums)
		}
	}
	return all
}

// Factor returns how many times longer a target takes than others of its service; one
// if it isn't known to be slow.
func (t *Tracker) Factor(now time.Time, target string) float64 {
	if now.Sub(t.refreshedAt) >= refreshInterval {
		t.refresh(now)
	}
	return max(t.factors[target], 1)
}

// Slow returns the names of the targets that are slower than others, sorted.
func (t *Tracker) Slow(now time.Time) []string {
	var slow []string
	for _, targets := range t.services {
		for _, target := range targets {
			if t.Factor(now, target) > noiseFactor {
				slow = append(slow, target)
			}
		}
	}
	slices.Sort(slow)
	return slow
}

func (t *Tracker) refresh(now time.Time) {
	kept := math.Exp(-now.Sub(t.refreshedAt).Seconds() / forgetTime.Seconds())
	t.refreshedAt = now
	all := t.total(now, func(string, bool) bool { return true })
	for _, targets := range t.services {
		usual, ok := median(targets, all)
		for _, target := range targets {
			s := all[target]
			switch {
			case ok && s.ExpectedMillis >= minEvidenceMillis:
				t.factors[target] = factorOf(s, usual)
			case t.factors[target] > 1:
				t.factors[target] = max(1, kept*t.factors[target])
			}
		}
	}
}

// median returns the lower median of the ratios of the targets with evidence.
func median(targets []string, all map[string]Sum) (float64, bool) {
	var ratios []float64
	for _, target := range targets {
		if s := all[target]; s.ExpectedMillis >= minEvidenceMillis {
			ratios = append(ratios, s.ratio())
		}
	}
	if len(ratios) == 0 {
		return 0, false
	}
	slices.Sort(ratios)
	return max(ratios[(len(ratios)-1)/2], 0.1), true
}

// factorOf compares the sum of a target with the usual ratio.
func factorOf(s Sum, usual float64) float64 {
	factor := (float64(s.TookMillis)/usual + priorMillis) / float64(s.ExpectedMillis+priorMillis)
	if factor < noiseFactor {
		return 1
	}
	return min(factor, maxFactor)
}
