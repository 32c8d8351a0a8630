// Package timing estimates the time to the first token at each engine, and the time of
// a request at a plain target, from the answers that all nodes receive.
//
// A service has a model: a time without waiting and a time per prompt token. It is
// learned from requests that found no work ahead. Each instance has a speed relative to
// the model, and may be degraded for a while beside that. What requests wait longer or
// shorter than the known work ahead explains corrects only the estimate of waiting.
package timing

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/oplog"
)

const (
	// refreshInterval is the minimum time between two fits of the models.
	refreshInterval = 250 * time.Millisecond
	// maxSamplesSent and maxRatiosSent bound a report to about 1.1 KB up to fewNodes
	// nodes, beyond which they fall to minSent, so that 480 nodes stay at 0.4 KB. Of more
	// answers, a part is sent.
	maxSamplesSent, maxRatiosSent = 24, 64
	fewNodes, minSent             = 100, 16
	// logSize bounds the answers kept for reports to other nodes.
	logSize = 512
	// maxPercent bounds the ratio of the actual to the expected time of one answer, and
	// the speed of an instance: 100 times the logarithm of 8.
	maxPercent = 208
	// askTime is how long reports have all that is known after a node has asked. It is
	// longer than the interval between reports.
	askTime = 400 * time.Millisecond
)

// Tracker keeps the estimates of all services and targets. It is not safe for
// concurrent use. See [New].
type Tracker struct {
	services  map[string]*service
	instances map[Instance]*instance
	byKey     map[uint32]*instance

	answers *oplog.Log[answer]
	// children are the children that have asked for all that is known, askedAt is when
	// another node last did.
	children    map[string]bool
	askedAt     time.Time
	refreshedAt time.Time
	nodes       int
	// hasModels is true once another node has sent its models.
	hasModels bool
	// unlisted are the speeds that another node sent, for instances that aren't listed yet.
	unlisted map[uint32]float64
}

// answer is an entry of the log for other nodes: one answer of this node, or a part of
// another node's report.
type answer struct {
	// service is empty if the answer says nothing of it.
	service string
	sample  Sample
	// ratios have a count of zero if the answer says nothing of its instance.
	ratios Ratios
}

// New returns a tracker without targets.
//
//	tracker := timing.New()
//	tracker.SetTargets(map[string][]timing.Instance{"engines": {{ID: "e1", Born: 1}}})
//	tracker.Observe(now, timing.Answer{Service: "engines", Instance: e1, Own: 900, Took: 90 * time.Millisecond})
//	expected := tracker.Estimate(now, "engines", e1).Expected(tokensAhead, ownTokens)
func New() *Tracker {
	return &Tracker{
		services: map[string]*service{}, instances: map[Instance]*instance{}, byKey: map[uint32]*instance{},
		answers: oplog.New[answer](logSize), children: map[string]bool{}, unlisted: map[uint32]float64{},
	}
}

// SetTargets replaces the targets of each service. What was learned of an instance that
// is no longer listed is discarded.
func (t *Tracker) SetTargets(services map[string][]Instance) {
	listed := map[Instance]*instance{}
	clear(t.byKey)
	for name, all := range services {
		s := t.service(name)
		s.instances = s.instances[:0]
		for _, id := range all {
			i, ok := t.instances[id]
			if !ok {
				i = &instance{id: id, key: id.key(), service: s}
				i.takeOver(t.unlisted)
			}
			listed[id], t.byKey[i.key] = i, i
			s.instances = append(s.instances, i)
		}
	}
	t.instances = listed
	for name, s := range t.services {
		if _, ok := services[name]; !ok {
			s.instances = nil
		}
	}
}

func (t *Tracker) service(name string) *service {
	s, ok := t.services[name]
	if !ok {
		s = newService()
		t.services[name] = s
	}
	return s
}

// Estimate returns the estimate for an instance of a service.
func (t *Tracker) Estimate(now time.Time, serviceName string, id Instance) Estimate {
	t.refresh(now)
	s := t.service(serviceName)
	e := s.estimate()
	if i, ok := t.instances[id]; ok {
		factor := i.factor(now)
		e = e.scaled(factor)
		e.Speed = factor / math.Exp(s.medianSpeed)
	}
	return e
}

// Observe adds an answer that this node received.
func (t *Tracker) Observe(now time.Time, a Answer) {
	t.refresh(now)
	s := t.service(a.Service)
	i, ok := t.instances[a.Instance]
	if !ok {
		return
	}
	var entry answer
	if e := s.estimate(); s.learned() && a.Took > 0 {
		entry.ratios = Ratios{Instance: i.key, Count: 1, Percent: percent(a.Took, e.longest(a.Ahead, a.Own))}
		if e.free(a.Ahead, a.Own) && !a.Unsure {
			entry.ratios.Clean, entry.ratios.CleanPercent = 1, percent(a.Took, e.Base+e.Prefill(a.Own))
		}
		i.add(now, entry.ratios)
	}
	if !a.Unsure && !i.degraded(now) {
		entry.service = a.Service
		entry.sample = Sample{Ahead: a.Ahead, Own: a.Own, Micros: int(float64(a.Took.Microseconds()) / math.Exp(i.usual-s.medianSpeed))}
		s.add(now, entry.sample)
	}
	if entry != (answer{}) {
		t.answers.Add(oplog.Origin{}, entry)
	}
}

// percent returns 100 times the logarithm of a ratio.
func percent(actual, expected time.Duration) int {
	return percentOf(math.Log(float64(actual) / float64(max(expected, 1))))
}

func percentOf(logRatio float64) int {
	return int(math.Round(max(-maxPercent, min(100*logRatio, maxPercent))))
}

// refresh fits the models and the median speeds again.
func (t *Tracker) refresh(now time.Time) {
	if now.Sub(t.refreshedAt) < refreshInterval {
		return
	}
	t.refreshedAt = now
	for _, s := range t.services {
		s.refresh(now)
	}
}

// Report returns the answers from a position on for a recipient, and the next position.
// A child gets the answers of all nodes but its own, others get those of this node and
// its children.
func (t *Tracker) Report(now time.Time, to oplog.Recipient, after uint64) (Report, uint64) {
	r := Report{Asks: !t.hasModels}
	answers, next := t.answers.Since(after, to)
	for _, a := range rotate(withSample(answers), t.limit(maxSamplesSent), after) {
		if r.Samples == nil {
			r.Samples = map[string][]Sample{}
		}
		r.Samples[a.service] = append(r.Samples[a.service], a.sample)
	}
	r.Ratios = rotate(merge(answers), t.limit(maxRatiosSent), after)
	if t.asked(now, to) {
		all := t.Export()
		r.Models, r.Speeds = all.Models, all.Speeds
	}
	return r, next
}

// limit returns the number of entries to send for the number of nodes.
func (t *Tracker) limit(most int) int {
	return max(minSent, most*fewNodes/max(t.nodes, fewNodes))
}

// SetNodes sets the number of nodes that exchange reports, including this one.
func (t *Tracker) SetNodes(n int) { t.nodes = n }

// asked reports whether a recipient has asked for all that is known.
func (t *Tracker) asked(now time.Time, to oplog.Recipient) bool {
	if to.Child {
		asked := t.children[to.Node]
		delete(t.children, to.Node)
		return asked
	}
	return now.Sub(t.askedAt) < askTime
}

// withSample returns the answers that say something of their service.
func withSample(answers []answer) []answer {
	kept := make([]answer, 0, len(answers))
	for _, a := range answers {
		if a.service != "" {
			kept = append(kept, a)
		}
	}
	return kept
}

// merge adds up the ratios of each instance.
func merge(answers []answer) []Ratios {
	at := map[uint32]int{}
	var merged []Ratios
	for _, a := range answers {
		r := a.ratios
		if r.Count == 0 {
			continue
		}
		index, ok := at[r.Instance]
		if !ok {
			at[r.Instance] = len(merged)
			merged = append(merged, r)
			continue
		}
		m := &merged[index]
		m.Percent = (m.Percent*m.Count + r.Percent*r.Count) / (m.Count + r.Count)
		m.Count += r.Count
		if r.Clean > 0 {
			m.CleanPercent = (m.CleanPercent*m.Clean + r.CleanPercent*r.Clean) / (m.Clean + r.Clean)
			m.Clean += r.Clean
		}
	}
	return merged
}

// rotate returns at most limit of the entries, evenly spaced from an offset on.
func rotate[T any](all []T, limit int, offset uint64) []T {
	if len(all) <= limit {
		return all
	}
	picked := make([]T, 0, limit)
	first := int(offset % uint64(len(all))) //nolint:gosec // Less than the length.
	for i := range limit {
		picked = append(picked, all[(first+i*len(all)/limit)%len(all)])
	}
	return picked
}

// Apply adds another node's report.
func (t *Tracker) Apply(now time.Time, from oplog.Origin, r Report) {
	switch {
	case !r.Asks:
	case from.Child:
		t.children[from.Node] = true
	default:
		t.askedAt = now
	}
	if len(r.Models) > 0 {
		t.hasModels = true
	}
	t.takeOver(Learned{Models: r.Models, Speeds: r.Speeds})
	t.refresh(now)
	for name, samples := range r.Samples {
		s := t.service(name)
		for _, sample := range samples {
			t.answers.Add(from, answer{service: name, sample: sample})
			s.add(now, sample)
		}
	}
	for _, ratios := range r.Ratios {
		t.answers.Add(from, answer{ratios: ratios})
		if i, ok := t.byKey[ratios.Instance]; ok && ratios.Count > 0 {
			i.add(now, ratios)
		}
	}
}

// takeOver takes what another node has learned where this node has learned less.
func (t *Tracker) takeOver(all Learned) {
	for name, m := range all.Models {
		if s := t.service(name); m.valid() && s.model.Samples < m.Samples {
			s.model = m
		}
	}
	for _, speed := range all.Speeds {
		t.unlisted[speed.Instance] = float64(max(-maxPercent, min(speed.Percent, maxPercent))) / 100
		if i, ok := t.byKey[speed.Instance]; ok {
			i.takeOver(t.unlisted)
		}
	}
}

// DropPeer forgets what a node has asked for.
func (t *Tracker) DropPeer(node string) { delete(t.children, node) }

// Export returns what was learned.
func (t *Tracker) Export() Learned {
	all := Learned{Models: map[string]Model{}}
	for name, s := range t.services {
		if s.learned() {
			all.Models[name] = s.model
		}
	}
	for _, i := range t.instances {
		if percent := percentOf(i.usual); i.count >= settledRatios && percent != 0 {
			all.Speeds = append(all.Speeds, Speed{Instance: i.key, Percent: percent})
		}
	}
	slices.SortFunc(all.Speeds, func(a, b Speed) int { return cmp.Compare(a.Instance, b.Instance) })
	return all
}

// Restore takes over what was stored. Stored models count as little, so that a few
// answers replace them if the engines have changed.
func (t *Tracker) Restore(stored Learned) {
	models := maps.Clone(stored.Models)
	for name, m := range models {
		m.Samples = min(m.Samples, firstSamples)
		models[name] = m
	}
	t.takeOver(Learned{Models: models, Speeds: stored.Speeds})
}

// Slow returns the IDs of the targets that have been slower than they usually are for
// longer than noise lasts, sorted.
func (t *Tracker) Slow(now time.Time) []string {
	var slow []string
	for id, i := range t.instances {
		if i.slow(now) {
			slow = append(slow, id.ID)
		}
	}
	slices.Sort(slow)
	return slow
}

// Speeds returns the speeds of the instances of each service, ascending.
func (t *Tracker) Speeds(now time.Time) map[string][]float64 {
	all := make(map[string][]float64, len(t.services))
	for name, s := range maps.All(t.services) {
		speeds := make([]float64, 0, len(s.instances))
		for _, i := range s.instances {
			speeds = append(speeds, i.factor(now)/math.Exp(s.medianSpeed))
		}
		slices.Sort(speeds)
		all[name] = speeds
	}
	return all
}
