package pick

import (
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/timing"
)

// Run is a request in progress at a target.
type Run struct {
	// Target is the target's name.
	Target string
	// Began is when the request was sent.
	Began time.Time

	load Load
	// answer is what will be observed of the target, and copyTime the part of the time
	// that isn't the target's.
	answer   timing.Answer
	copyTime time.Duration
	// expected is when the first token is expected, prefillEnd the end of the prefill,
	// which takes prefillTime.
	expected, prefillEnd time.Time
	prefillTime          time.Duration
	// usualTime is the time to the first token, or to the answer of a plain target, that
	// is expected of a target of usual speed.
	usualTime time.Duration
	gotFirst  bool
	isModel   bool
	parts     []part
	dest      *target
}

// Start records that a request is sent as [Picker.Choose] decided.
func (s *Picker) Start(now time.Time, r Request, d Dispatch) *Run {
	run := &Run{Target: d.Target.ID, Began: now, isModel: s.isModel(r)}
	t, ok := s.targets[d.Target.ID]
	if !ok {
		return run
	}
	run.dest, run.copyTime = t, d.CopyTime
	run.answer = timing.Answer{Service: t.Service, Instance: t.timed(), Ahead: d.Ahead, Unsure: d.Fetched > 0}
	run.usualTime = d.Expected
	if d.Slowness > 0 {
		run.usualTime = time.Duration(float64(d.Expected) / d.Slowness)
	}
	s.countRequest(r, d)
	run.load = Load{Running: 1}
	if run.isModel {
		miss := max(r.Prompt.Tokens-d.Cached-d.Fetched, 0)
		run.load.Prefill, run.load.Memory = miss, r.Prompt.Tokens+r.Prompt.MaxOutput
		run.answer.Own = miss
		run.parts = s.recordPlacement(now, t, r, d)
	}
	t.own = t.own.plus(run.load)
	if run.isModel {
		run.expected, run.prefillEnd, run.prefillTime = now.Add(d.Expected), now.Add(d.Expected-d.Base), d.PrefillTime
		t.pending = append(t.pending, run)
	}
	return run
}

// recordPlacement updates the cache estimates with the parts of a prompt and
// reports the shared ones.
func (s *Picker) recordPlacement(now time.Time, t *target, r Request, d Dispatch) []part {
	parts := partKeys(r.Prompt.Model, d.Scope, r.Prompt.Parts)
	shared := len(r.Prompt.Shared())
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		t.cache.touch(p.key, p.tokens)
		if i < shared {
			s.markShared(p.key)
			s.reportPlacement(now, Placement{Part: p.key, Tokens: p.tokens, Target: t.ID})
		}
		if d.SaveTo == "" {
			continue
		}
		for _, st := range s.stores {
			if st.Address == d.SaveTo {
				st.cache.touch(p.key, p.tokens)
				if i < shared {
					s.reportPlacement(now, Placement{Part: p.key, Tokens: p.tokens, Target: st.Name})
				}
			}
		}
	}
	return parts
}

// markShared marks a part as shared. If caches reported it before this node knew that
// it is shared, it is reported to other nodes now.
func (s *Picker) markShared(part uint64) {
	known := s.shared.Contains(part)
	s.shared.Add(part, struct{}{})
	if known {
		return
	}
	report := func(name string, cache *cacheIndex) {
		if e, ok := cache.parts.Peek(part); ok && e.confirmed {
			s.placements.Add(oplog.Origin{}, Placement{Part: part, Tokens: e.tokens, Target: name, Confirmed: true})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		report(id, s.targets[id].cache)
	}
	for _, st := range s.stores {
		report(st.Name, st.cache)
	}
}

// reportPlacement reports to other nodes that a part is used at a target, at most
// once per placementInterval.
func (s *Picker) reportPlacement(now time.Time, p Placement) {
	if at, ok := s.reportedAt.Get(p.key()); ok && now.Sub(at) < placementInterval {
		return
	}
	s.reportedAt.Add(p.key(), now)
	s.placements.Add(oplog.Origin{}, p)
}

// key returns a hash of the part and its target.
func (p Placement) key() uint64 { return xxh3.HashStringSeed(p.Target, p.Part) }

// FirstToken records the first token of a run, at which its prefill is complete.
func (s *Picker) FirstToken(now time.Time, run *Run) {
	if run.gotFirst || run.dest == nil {
		return
	}
	run.gotFirst = true
	run.dest.own.Prefill -= run.load.Prefill
	run.dest.removePending(run)
	if run.isModel {
		s.observePath(now, run)
		s.observe(now, run)
		run.dest.cache.confirm(run.parts)
	}
	run.dest.recordSuccess()
}

// observe records how long a run took.
func (s *Picker) observe(now time.Time, run *Run) {
	if s.isAway(run.dest) && s.hasNodes(now, run.dest.DataCentre) {
		// Its own nodes observe it without the path between the data centres.
		return
	}
	run.answer.Took = max(now.Sub(run.Began)-run.copyTime, 0)
	s.timing.Observe(now, run.answer)
}

// Outcome is the outcome of a run.
type Outcome int

// Outcomes of a run.
const (
	// Completed means that the target's answer is complete.
	Completed Outcome = iota
	// Rejected means that the target rejected the run for lack of capacity.
	Rejected
	// Failed means that the target broke off the run or answered with an error.
	Failed
	// Unreachable means that the target could not be reached or did not answer.
	Unreachable
	// Cancelled means that the client or this node cancelled the run.
	Cancelled
)

// fullBackoff is how long this node sends no requests to a target that has rejected
// one for lack of capacity.
const fullBackoff = 250 * time.Millisecond

// Finish records the outcome of a run.
func (s *Picker) Finish(now time.Time, run *Run, end Outcome) {
	t := run.dest
	if t == nil {
		return
	}
	if end == Completed {
		s.observeHold(now, run)
		if !run.isModel {
			s.observePath(now, run)
			s.observe(now, run)
		}
	}
	run.dest = nil
	t.own.Running -= run.load.Running
	t.own.Memory -= run.load.Memory
	if !run.gotFirst {
		t.own.Prefill -= run.load.Prefill
		t.removePending(run)
	}
	switch end {
	case Completed:
		t.recordSuccess()
	case Rejected:
		t.fullUntil = now.Add(fullBackoff)
	case Failed:
		t.recordFailure(now, false)
	case Unreachable:
		t.recordFailure(now, true)
	case Cancelled:
	}
}

// ClearCache clears the estimated cache contents of a target or store.
func (s *Picker) ClearCache(name string) {
	if cache := s.indexOf(name); cache != nil {
		cache.parts.Purge()
	}
}

// indexOf returns the cache index of a target or store; nil if unknown.
func (s *Picker) indexOf(name string) *cacheIndex {
	if t, ok := s.targets[name]; ok {
		return t.cache
	}
	for _, st := range s.stores {
		if st.Name == name {
			return st.cache
		}
	}
	return nil
}

// ApplyCacheEvents applies events that a cache itself sent. Events of shared parts
// are reported to other nodes. After a snapshot of the whole cache all of its parts
// are reported, since a node that has just started can't determine yet which parts
// are shared.
func (s *Picker) ApplyCacheEvents(name string, events []CacheEvent, whole bool) {
	cache := s.indexOf(name)
	if cache == nil {
		return
	}
	for _, e := range events {
		key := partKey(e.Model, e.Scope, e.ID)
		cache.update(key, e.Tokens)
		if !whole && s.shared.Contains(key) {
			p := Placement{Part: key, Tokens: e.Tokens, Target: name, Confirmed: true}
			s.reportedAt.Remove(p.key())
			s.placements.Add(oplog.Origin{}, p)
		}
	}
	if whole {
		for _, p := range cache.confirmedParts(name) {
			s.placements.Add(oplog.Origin{}, p)
		}
	}
}

// CachedParts returns the confirmed contents of all caches, for a node that has just
// started.
func (s *Picker) CachedParts() []Placement {
	var all []Placement
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		all = append(all, s.targets[id].cache.confirmedParts(id)...)
	}
	for _, st := range s.stores {
		all = append(all, st.cache.confirmedParts(st.Name)...)
	}
	return all
}

// MergeParts applies the result of another node's [Picker.CachedParts].
func (s *Picker) MergeParts(parts []Placement) {
	for _, p := range parts {
		if cache := s.indexOf(p.Target); cache != nil {
			cache.update(p.Part, p.Tokens)
		}
	}
}

// SlowTargets returns the IDs of the targets that have been slower than they usually
// are for longer than noise lasts, sorted.
func (s *Picker) SlowTargets(now time.Time) []string { return s.timing.Slow(now) }

// Speeds returns how many times longer than usual for their service its targets take,
// by service, ascending.
func (s *Picker) Speeds(now time.Time) map[string][]float64 { return s.timing.Speeds(now) }

// LearnedTimes returns what was learned of the time that targets take.
func (s *Picker) LearnedTimes() timing.Learned { return s.timing.Export() }

// RestoreTimes takes over what was stored where less is known.
func (s *Picker) RestoreTimes(stored timing.Learned) { s.timing.Restore(stored) }

// Expire drops load reports that are too old.
func (s *Picker) Expire(now time.Time) {
	for _, t := range s.targets {
		t.expire(now)
	}
}

// Report returns the report for a recipient, with the cache changes since a
// position, and the next position.
func (s *Picker) Report(now time.Time, to oplog.Recipient, after uint64) (Report, uint64) {
	r := Report{Work: map[string]Load{}, Versions: map[string]ObservedVersion{}, ReportAges: s.reportAges(now)}
	parts, next := s.placements.Page(after, to, maxReportedParts)
	r.Parts = parts
	for id, o := range s.observed {
		if now.Sub(o.at) > observedVersionAge {
			delete(s.observed, id)
			continue
		}
		if o.origin.VisibleTo(to) {
			r.Versions[id] = o.seen
		}
	}
	for id, t := range s.targets {
		if load := t.loadFor(now, to); load != (Load{}) {
			r.Work[id] = load
		}
	}
	return r, next
}

// ReportTiming returns the report of how long targets took, from a position on, and the
// next position.
func (s *Picker) ReportTiming(now time.Time, to oplog.Recipient, after uint64) (timing.Report, uint64) {
	return s.timing.Report(now, to, after)
}

// ApplyReport applies another node's report.
func (s *Picker) ApplyReport(now time.Time, from oplog.Origin, r Report) {
	s.timing.Apply(now, from, r.Timing)
	defer s.smoothPeerWork(now)
	s.applyReportAges(now, r.ReportAges)
	for id, t := range s.targets {
		if load, ok := r.Work[id]; ok {
			t.setPeer(from.Node, peerLoad{load: load, at: now, child: from.Child})
		} else {
			t.dropPeer(from.Node)
		}
	}
	s.ApplyReportWithoutLoad(now, from, r)
}

// ApplyReportWithoutLoad applies another node's report except for its load and its
// answer times, which a third node reports.
func (s *Picker) ApplyReportWithoutLoad(now time.Time, from oplog.Origin, r Report) {
	s.applyParts(now, from, r.Parts)
	for id, seen := range maps.All(r.Versions) {
		if s.RecordVersion(id, seen) {
			s.observed[id] = versionReport{seen: seen, at: now, origin: from}
		}
	}
}

func (s *Picker) applyParts(now time.Time, from oplog.Origin, parts []Placement) {
	for _, p := range parts {
		s.placements.Add(from, p)
		cache := s.indexOf(p.Target)
		if cache == nil {
			continue
		}
		if p.Confirmed {
			cache.update(p.Part, p.Tokens)
			continue
		}
		s.markShared(p.Part)
		s.reportedAt.Add(p.key(), now)
		cache.touch(p.Part, p.Tokens)
	}
}

// DropPeer removes the load that a node reported.
func (s *Picker) DropPeer(node string) {
	s.timing.DropPeer(node)
	for _, t := range s.targets {
		t.dropPeer(node)
	}
}
