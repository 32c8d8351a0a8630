// Package pick decides which target gets a request: the one where it costs
// callers least, counting late answers, answers on replaced weights, prompt
// parts that have to be read again, and bytes between data centres.
//
// A node knows its own work exactly and that of others from their reports. It
// believes a part of a prompt to be where some node placed it last, until the
// target's memory must have yielded it.
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
	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/gate/trail"
)

// maxNamed bounds the versions of a model that are remembered.
const maxNamed = 16

// maxNews bounds the parts that wait for the next report.
const maxNews = 1024

// tellAgain is how often others are told that a part is used where they know it
// to be: more often than a cache forgets what it has not used.
const tellAgain = time.Second

// Options describe the node that decides.
type Options struct {
	// DataCentre is where the node stands.
	DataCentre string
	// Seed feeds the choice between equals.
	Seed uint64
}

// State is what one node believes of all targets.
type State struct {
	options  Options
	random   *rand.Rand
	targets  map[string]*target
	services map[string][]*target
	plan     *plan.Plan
	wanted   map[string]wanted
	stores   []*store
	news     map[string]news
	moves    *trail.Trail[Placed]
	// told is when others last knew that a part was used at a target.
	told *simplelru.LRU[uint64, time.Time]
	// shared are parts that are known to be shared: others need not be told of.
	shared *simplelru.LRU[uint64, struct{}]
	speeds map[string]*speed
}

// wanted is what was named of a model's weights.
type wanted struct {
	// named are the versions in rising order, each with the time of its naming.
	named []naming
	// floor is the oldest version that may answer.
	floor uint64
}

// newsAge is how long other nodes are told of a version: until the list of targets
// tells it, which lags by an interval of their registration.
const newsAge = 3 * time.Second

// news is a version that other nodes may not know yet.
type news struct {
	seen   Seen
	at     time.Time
	origin trail.Origin
}

type naming struct {
	version uint64
	since   time.Time
}

// newest returns the newest version; zero if none was named.
func (w wanted) newest() naming {
	if len(w.named) == 0 {
		return naming{}
	}
	return w.named[len(w.named)-1]
}

// replaced returns when the first version after another one was named.
func (w wanted) replaced(version uint64) (time.Time, bool) {
	for _, n := range w.named {
		if n.version > version {
			return n.since, true
		}
	}
	return time.Time{}, false
}

// part is a part of a prompt by the hash of its model, scope and ID.
type part struct {
	key    uint64
	tokens int
}

// New returns a state without targets.
//
//	state := pick.New(pick.Options{DataCentre: "tema"})
//	state.SetPlan(plan)
//	state.SetTargets(roster.Targets())
//	verdict := state.Choose(now, request)
func New(options Options) *State {
	shared, _ := simplelru.NewLRU[uint64, struct{}](maxParts, nil)
	told, _ := simplelru.NewLRU[uint64, time.Time](maxParts, nil)
	return &State{
		shared: shared, told: told, moves: trail.New[Placed](maxNews),
		options: options, random: rand.New(rand.NewPCG(options.Seed, options.Seed)),
		targets: map[string]*target{}, services: map[string][]*target{},
		wanted: map[string]wanted{}, news: map[string]news{}, speeds: map[string]*speed{},
	}
}

// SetPlan takes a configuration.
func (s *State) SetPlan(p *plan.Plan) {
	s.plan = p
	s.setStores(p.Stores)
	for _, t := range s.targets {
		t.engines = p.Services[t.Service].Engines
		if t.engines != nil {
			t.cache.capacity = t.engines.CacheTokens
		}
	}
}

// SetTargets takes the list of targets.
func (s *State) SetTargets(list map[string]roster.Target) {
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
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[id]
		s.services[t.Service] = append(s.services[t.Service], t)
	}
}

// Want takes a version of a model's weights, named so long ago as far as the
// sender knows, and reports whether it is the newest so far.
func (s *State) Want(now time.Time, model string, named Named) bool {
	since := now.Add(-named.Age)
	w := s.wanted[model]
	at, known := slices.BinarySearchFunc(w.named, named.Version, func(n naming, v uint64) int { return cmp.Compare(n.version, v) })
	if known {
		if since.Before(w.named[at].since) {
			w.named[at].since = since
		}
		return false
	}
	newest := at == len(w.named)
	w.named = slices.Insert(w.named, at, naming{version: named.Version, since: since})
	w.named = w.named[max(0, len(w.named)-maxNamed):]
	s.wanted[model] = w
	return newest
}

// Namings returns the versions of a model that are remembered, oldest first.
func (s *State) Namings(now time.Time, model string) []Named {
	var all []Named
	for _, n := range s.wanted[model].named {
		all = append(all, Named{Version: n.version, Age: now.Sub(n.since)})
	}
	return all
}

// SetFloor keeps weights from answering which were replaced so long ago; zero
// lets all answer.
func (s *State) SetFloor(now time.Time, after time.Duration) {
	for model, w := range s.wanted {
		w.floor = 0
		for _, n := range w.named {
			if after > 0 && now.Sub(n.since) >= after {
				w.floor = n.version
			}
		}
		s.wanted[model] = w
	}
}

// Wanted returns the newest version of each model's weights.
func (s *State) Wanted(now time.Time) map[string]Named {
	all := make(map[string]Named, len(s.wanted))
	for model, w := range s.wanted {
		newest := w.newest()
		all[model] = Named{Version: newest.version, Age: now.Sub(newest.since)}
	}
	return all
}

// SetEmptied names the targets that are about to load weights and get no new
// work until then.
func (s *State) SetEmptied(ids map[string]bool) {
	for id, t := range s.targets {
		t.emptied = ids[id]
	}
}

// Saw takes the version that a target was seen to serve and reports whether it
// is news.
func (s *State) Saw(id string, seen Seen) bool {
	t, ok := s.targets[id]
	if !ok || t.Born != seen.Born || t.Versions[seen.Model] >= seen.Version {
		return false
	}
	if t.Versions == nil {
		t.Versions = map[string]uint64{}
	}
	t.Versions[seen.Model] = seen.Version
	t.forget()
	return true
}

// Observe takes a version that this node has itself seen a target serve. Other
// nodes are told of it for a while; the list of targets tells it later.
func (s *State) Observe(now time.Time, id string, seen Seen) bool {
	if !s.Saw(id, seen) {
		return false
	}
	s.news[id] = news{seen: seen, at: now}
	return true
}

// Versions returns the versions that targets are believed to serve.
func (s *State) Versions() map[string]Seen {
	all := map[string]Seen{}
	for id, t := range s.targets {
		for model, version := range t.Versions {
			all[id] = Seen{Born: t.Born, Model: model, Version: version}
		}
	}
	return all
}

// Running returns the requests of all nodes at a target.
func (s *State) Running(now time.Time, id string) int {
	t, ok := s.targets[id]
	if !ok {
		return 0
	}
	count, _ := t.work(now)
	return count.Running
}

// scopeOf is the text under which the parts of a request are cached. It differs
// by version, so that parts made by other weights are never found.
func scopeOf(version uint64, scope string) string {
	text := "w" + strconv.FormatUint(version, 10)
	if scope != "" {
		text += "/" + scope
	}
	return text
}

// keyOf identifies a part in a cache.
func keyOf(model, scope, id string) uint64 {
	return xxh3.HashStringSeed(id, xxh3.HashString(model+"\x00"+scope))
}

// chain returns the keys of a prompt's parts.
func chain(model, scope string, parts []call.Part) []part {
	hashed := make([]part, 0, len(parts))
	seed := xxh3.HashString(model + "\x00" + scope)
	for _, p := range parts {
		hashed = append(hashed, part{key: xxh3.HashStringSeed(p.ID, seed), tokens: p.Tokens})
	}
	return hashed
}
