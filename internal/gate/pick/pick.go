// Package pick chooses the target of each request: the one with the lowest expected
// cost, which counts late answers, answers from replaced weights, recomputed prompt
// parts and bytes sent between data centres.
//
// A node knows its own load exactly and that of others from their reports. It
// assumes that a part of a prompt is cached where a node placed it last, until the
// target's memory must have evicted it.
package pick

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"

	"github.com/cicadamill/cicadamill/internal/gate/call"
	"github.com/cicadamill/cicadamill/internal/gate/needs"
	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/gate/spill"
	"github.com/cicadamill/cicadamill/internal/gate/timing"
)

// maxVersions bounds the announced versions kept per model.
const maxVersions = 16

const (
	// maxPlacements bounds the cache changes kept for reports to peers. After a start of
	// all nodes the contents of all caches pass through the log within a second: some 60
	// parts for each of 140 engines.
	maxPlacements = 1 << 13
	// maxReportedParts bounds the cache changes in one report. A report of 2,048 takes a
	// link of 10 Mbit/s 50 ms.
	maxReportedParts = 1 << 11
)

// placementInterval is the minimum time between two reports of the same cached
// part. It is shorter than the time in which a cache evicts an unused part, so
// peers keep the part in their estimates.
const placementInterval = time.Second

// Options describe the node.
type Options struct {
	// DataCentre is the node's own data centre.
	DataCentre string
	// Seed seeds the random choice between equal targets.
	Seed uint64
	// Needs is what targets say of themselves; nothing if nil.
	Needs *needs.Tracker
	// Spill decides what is sent to other data centres. If it is nil, only the bytes
	// count that are sent there.
	Spill *spill.Spill
}

// Picker is one node's view of all targets: load, cache contents, versions and
// latencies. It is not safe for concurrent use.
type Picker struct {
	options  Options
	random   *rand.Rand
	targets  map[string]*target
	services map[string][]*target
	plan     *plan.Plan
	models   map[string]modelVersions
	// maxReplacedAge is how long after their replacement weights may answer; zero
	// means without limit.
	maxReplacedAge time.Duration
	stores         []*store
	observed       map[string]versionReport
	placements     *oplog.Log[Placement]
	// reportedAt is when the use of a part at a target was last reported.
	reportedAt *simplelru.LRU[uint64, time.Time]
	// shared are the parts that requests or reports marked as shared. Cache events
	// of other parts aren't reported.
	shared *simplelru.LRU[uint64, struct{}]
	// timing estimates how long targets take.
	timing   *timing.Tracker
	peers    peerWork
	crossing *crossing
}

// modelVersions are the announced versions of a model's weights.
type modelVersions struct {
	// announced are the versions in ascending order.
	announced []announcement
	// minVersion is the oldest version that may answer.
	minVersion uint64
}

// observedVersionAge is how long an observed version is reported to other nodes.
// By then it is in the list of targets, which lags by one registration interval of
// the targets.
const observedVersionAge = 3 * time.Second

// versionReport is an observed version that is reported to other nodes.
type versionReport struct {
	seen   ObservedVersion
	at     time.Time
	origin oplog.Origin
}

type announcement struct {
	version uint64
	since   time.Time
	guess   bool
}

// newest returns the newest version; zero if none was announced.
func (m modelVersions) newest() announcement {
	if len(m.announced) == 0 {
		return announcement{}
	}
	return m.announced[len(m.announced)-1]
}

// replacedAt returns when the first newer version was announced.
func (m modelVersions) replacedAt(version uint64) (time.Time, bool) {
	for _, a := range m.announced {
		if a.version > version {
			return a.since, true
		}
	}
	return time.Time{}, false
}

// part is a part of a prompt; key is the hash of its model, scope and ID.
type part struct {
	key    uint64
	tokens int
}

// New returns a Picker without targets.
//
//	picker := pick.New(pick.Options{DataCentre: "tema"})
//	picker.SetPlan(plan)
//	picker.SetTargets(roster.Targets())
//	decision := picker.Choose(now, request)
func New(options Options) *Picker {
	if options.Needs == nil {
		options.Needs = needs.New("")
	}
	shared, _ := simplelru.NewLRU[uint64, struct{}](maxParts, nil)
	reportedAt, _ := simplelru.NewLRU[uint64, time.Time](maxParts, nil)
	return &Picker{
		crossing: newCrossing(options.Seed),
		shared:   shared, reportedAt: reportedAt, placements: oplog.New[Placement](maxPlacements),
		options: options, random: rand.New(rand.NewPCG(options.Seed, options.Seed)),
		targets: map[string]*target{}, services: map[string][]*target{},
		models: map[string]modelVersions{}, observed: map[string]versionReport{}, timing: timing.New(),
	}
}

// SetPlan applies a configuration.
func (s *Picker) SetPlan(p *plan.Plan) {
	s.plan = p
	s.setStores(p.Stores)
	for _, t := range s.targets {
		t.engines = p.Services[t.Service].Engines
		if t.engines != nil {
			t.cache.capacity = t.engines.CacheTokens
		}
	}
}

// SetTargets replaces the list of targets.
func (s *Picker) SetTargets(list map[string]roster.Target) {
	for id := range s.targets {
		if _, ok := list[id]; !ok {
			delete(s.targets, id)
		}
	}
	for id, entry := range list {
		entry.Versions = maps.Clone(entry.Versions)
		var engines *plan.Engines
		if s.plan != nil {
			engines = s.plan.Services[entry.Service].Engines
		}
		if t, ok := s.targets[id]; ok {
			t.update(entry, engines)
			continue
		}
		s.targets[id] = newTarget(entry, engines)
	}
	clear(s.services)
	instances := map[string][]timing.Instance{}
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[id]
		s.services[t.Service] = append(s.services[t.Service], t)
		instances[t.Service] = append(instances[t.Service], t.timed())
	}
	s.timing.SetTargets(instances)
}

// TakesRequests reports whether a start of a target is listed and not leaving.
func (s *Picker) TakesRequests(id string, born int64) bool {
	t, ok := s.targets[id]
	return ok && t.Born == born && !t.Leaving
}

// Announce records an announced version of a model's weights and reports whether it
// is the newest so far. If the version is known, the larger age is kept, but a guess
// doesn't replace the age that somebody saw.
func (s *Picker) Announce(now time.Time, model string, announced AnnouncedVersion) bool {
	since := now.Add(-announced.Age)
	m := s.models[model]
	index, found := slices.BinarySearchFunc(m.announced, announced.Version, func(a announcement, v uint64) int { return cmp.Compare(a.version, v) })
	if found {
		known := &m.announced[index]
		if since.Before(known.since) && (known.guess || !announced.Guess) {
			known.since, known.guess = since, announced.Guess
		}
		return false
	}
	newest := index == len(m.announced)
	m.announced = slices.Insert(m.announced, index, announcement{version: announced.Version, since: since, guess: announced.Guess})
	m.announced = m.announced[max(0, len(m.announced)-maxVersions):]
	s.models[model] = m
	return newest
}

// AgeAnnouncements makes all announcements older, by time that the clock of the other
// methods has not counted.
func (s *Picker) AgeAnnouncements(by time.Duration) {
	for _, m := range s.models {
		for i := range m.announced {
			m.announced[i].since = m.announced[i].since.Add(-by)
		}
	}
}

// Announced returns the announced versions of a model that are kept, oldest first.
func (s *Picker) Announced(now time.Time, model string) []AnnouncedVersion {
	var all []AnnouncedVersion
	for _, a := range s.models[model].announced {
		all = append(all, AnnouncedVersion{Version: a.version, Age: now.Sub(a.since), Guess: a.guess})
	}
	return all
}

// MaxBeginWait is how long after the limit of [Picker.SetMaxReplacedAge] a request that
// was sent before may begin to run.
const MaxBeginWait = time.Second

// SetMaxReplacedAge stops weights from answering that were replaced at least the
// given time ago; zero lets all answer.
func (s *Picker) SetMaxReplacedAge(now time.Time, after time.Duration) {
	s.maxReplacedAge = after
	for model, m := range s.models {
		m.minVersion = 0
		for _, a := range m.announced {
			if after > 0 && now.Sub(a.since) >= after {
				m.minVersion = a.version
			}
		}
		s.models[model] = m
	}
}

// beginBy returns when a request for weights that were replaced at the given time must
// have begun.
func (s *Picker) beginBy(replaced time.Time) time.Time {
	return replaced.Add(s.maxReplacedAge + MaxBeginWait)
}

// MinBeginVersions returns for each model the oldest version on which a request that
// was sent before may still begin to run. Models without a limit are left out.
func (s *Picker) MinBeginVersions(now time.Time) map[string]uint64 {
	if s.maxReplacedAge <= 0 {
		return nil
	}
	oldest := map[string]uint64{}
	for model, m := range s.models {
		for _, a := range m.announced {
			if !now.Before(s.beginBy(a.since)) {
				oldest[model] = a.version
			}
		}
	}
	return oldest
}

// Newest returns the newest announced version of each model.
func (s *Picker) Newest(now time.Time) map[string]AnnouncedVersion {
	all := make(map[string]AnnouncedVersion, len(s.models))
	for model, m := range s.models {
		newest := m.newest()
		all[model] = AnnouncedVersion{Version: newest.version, Age: now.Sub(newest.since), Guess: newest.guess}
	}
	return all
}

// Superseded returns the announced versions of each model other than the newest that
// are younger than maxAge.
func (s *Picker) Superseded(now time.Time, maxAge time.Duration) map[string][]AnnouncedVersion {
	var all map[string][]AnnouncedVersion
	for model, m := range s.models {
		for _, a := range m.announced[:max(0, len(m.announced)-1)] {
			if age := now.Sub(a.since); age < maxAge {
				if all == nil {
					all = map[string][]AnnouncedVersion{}
				}
				all[model] = append(all[model], AnnouncedVersion{Version: a.version, Age: age, Guess: a.guess})
			}
		}
	}
	return all
}

// SetDraining sets the targets that get no new work because they are about to load
// weights.
func (s *Picker) SetDraining(ids map[string]bool) {
	for id, t := range s.targets {
		t.draining = ids[id]
	}
}

// RecordVersion records the version that a target was observed to serve and reports
// whether it is newer than the known one.
func (s *Picker) RecordVersion(id string, seen ObservedVersion) bool {
	t, ok := s.targets[id]
	if !ok || t.Born != seen.Born || t.Versions[seen.Model] >= seen.Version {
		return false
	}
	if t.Versions == nil {
		t.Versions = map[string]uint64{}
	}
	t.Versions[seen.Model] = seen.Version
	t.resetCache()
	return true
}

// ObserveVersion records a version that this node itself observed at a target. It is
// reported to other nodes until the list of targets has it.
func (s *Picker) ObserveVersion(now time.Time, id string, seen ObservedVersion) bool {
	if !s.RecordVersion(id, seen) {
		return false
	}
	s.observed[id] = versionReport{seen: seen, at: now}
	return true
}

// Versions returns the versions that targets are known to serve.
func (s *Picker) Versions() map[string]ObservedVersion {
	all := map[string]ObservedVersion{}
	for id, t := range s.targets {
		for model, version := range t.Versions {
			all[id] = ObservedVersion{Born: t.Born, Model: model, Version: version}
		}
	}
	return all
}

// Running returns the number of requests of all nodes at a target.
func (s *Picker) Running(now time.Time, id string) int {
	t, ok := s.targets[id]
	if !ok {
		return 0
	}
	load, _ := t.load(now)
	return load.Running
}

// scopeOf returns the namespace of a workspace's parts in a cache. It includes the
// version, so that parts computed with other weights are never reused.
func (s *Picker) scopeOf(version uint64, workspace string) string {
	scope := "w" + strconv.FormatUint(version, 10)
	if s.plan != nil {
		scope += s.plan.CacheScope(workspace)
	}
	return scope
}

// ScopeInForce reports whether a request of a workspace that was to be sent as d would
// still get the same scope.
func (s *Picker) ScopeInForce(d Dispatch, workspace string) bool {
	return d.Scope == "" || d.Scope == s.scopeOf(d.Version, workspace)
}

// partKey returns the cache key of a part.
func partKey(model, scope, id string) uint64 {
	return xxh3.HashStringSeed(id, xxh3.HashString(model+"\x00"+scope))
}

// partKeys returns a prompt's parts with their cache keys.
func partKeys(model, scope string, parts []call.Part) []part {
	keys := make([]part, 0, len(parts))
	seed := xxh3.HashString(model + "\x00" + scope)
	for _, p := range parts {
		keys = append(keys, part{key: xxh3.HashStringSeed(p.ID, seed), tokens: p.Tokens})
	}
	return keys
}
