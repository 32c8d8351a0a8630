package pick

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/cicadamill/cicadamill/internal/gate/spill"
	"github.com/cicadamill/cicadamill/internal/gate/timing"
)

const (
	// crossZoneCost is the cost of sending 10 kB between data centres.
	crossZoneCost = 0.006
	// closedCost is the cost of a target in another data centre for a request that no
	// share sends there. It is above that of a late answer, so that only full targets
	// here lead there, and below that of recomputing a long part.
	closedCost = 1.0
	// firstReportTime is how long after its start a node sends nothing to data centres
	// that it has no reports of. After that they may have no nodes.
	firstReportTime = 2 * time.Second
	// silentTime is how long a data centre whose reports have stopped is assumed to have
	// nodes that send requests to its targets.
	silentTime = 30 * time.Second
	// demandWeight is the weight of one request in the averages of its kind.
	demandWeight = 0.02
	// errorWeight is the weight of one response in the average error of estimates.
	errorWeight = 0.1
)

// Reasons for requests that are sent to another data centre, as labels of a metric.
const (
	sentByShare    = "share"
	sentToParts    = "parts"
	sentAsOverflow = "overflow"
)

// Sent identifies requests that this node sent to another data centre.
type Sent struct {
	Service string
	Kind    spill.Kind
	To      string
	// Reason is "share" for requests that a share sends there, "parts" for those that
	// follow cached parts or the owner of new ones, and "overflow" for those that no
	// target here can take.
	Reason string
}

// crossing is the state of decisions about targets in other data centres.
type crossing struct {
	startedAt time.Time
	// reportedAt is when the newest report was sent that nodes of a data centre sent.
	reportedAt map[string]time.Time
	demands    map[string]map[spill.Kind]*demand
	// meanTokens is the mean length of a service's prompts.
	meanTokens map[string]float64
	// holds is the mean time that a request of a service occupies a slot.
	holds map[string]time.Duration
	// homeErrors is the mean time that requests in this data centre take longer than
	// expected, by service.
	homeErrors map[string]time.Duration
	// waiting is the work that waits for targets, by service.
	waiting map[string]time.Duration
	sent    map[Sent]int
	// to is the data centre that the request under decision may be sent to.
	to string
	// random has its own seed, so that a single data centre decides as without shares.
	random *rand.Rand
}

// demand is what the requests of a kind are like on average.
type demand struct {
	objective, bytes float64
	rank             int
	// missing are the shared tokens that the chosen targets lack here, missingAway those
	// that they lack in other data centres.
	missing, missingAway float64
}

func newCrossing(seed uint64) *crossing {
	return &crossing{
		random:     rand.New(rand.NewPCG(seed, 0)),
		reportedAt: map[string]time.Time{}, demands: map[string]map[spill.Kind]*demand{}, meanTokens: map[string]float64{},
		holds: map[string]time.Duration{}, homeErrors: map[string]time.Duration{}, waiting: map[string]time.Duration{}, sent: map[Sent]int{},
	}
}

// usualTimes returns the times that a target of usual speed takes for a prompt token and
// for a plain request.
func (s *Picker) usualTimes(now time.Time, service string) (perToken, request time.Duration) {
	e := s.timing.Estimate(now, service, timing.Instance{})
	return e.PerToken, e.Base
}

// slowness returns how many times longer than usual a target takes.
func (s *Picker) slowness(now time.Time, t *target) float64 {
	return max(s.timing.Estimate(now, t.Service, t.timed()).Speed, 0.1)
}

func (s *Picker) isAway(t *target) bool { return t.DataCentre != s.options.DataCentre }

// messageBytes returns the size of a request and its response on the wire.
func messageBytes(r Request) float64 {
	return float64(2*r.Prompt.Tokens + outputTokenBytes*r.Prompt.MaxOutput)
}

// drawDataCentre draws the data centre that the next request may be sent to. A prompt
// that waits and is decided about again keeps its draw.
func (s *Picker) drawDataCentre(now time.Time, r Request) {
	if s.options.Spill == nil {
		return
	}
	draw := s.crossing.random.Float64()
	if n := len(r.Prompt.Parts); n > 0 {
		draw = float64(xxh3.HashStringSeed(r.Prompt.Parts[n-1].ID, s.options.Seed)>>11) / (1 << 53)
	}
	s.crossing.to = s.options.Spill.Draw(now, r.Service, s.kind(r), draw)
}

// kind returns the kind of a request. A prompt is long if it is longer than the mean of
// its service.
func (s *Picker) kind(r Request) spill.Kind {
	switch {
	case !s.isModel(r):
		return spill.Plain
	case float64(r.Prompt.Tokens) > s.crossing.meanTokens[r.Service]:
		return spill.LongPrompt
	default:
		return spill.ShortPrompt
	}
}

// isOpen reports whether the request under decision may be sent to a target's data
// centre for its capacity.
func (s *Picker) isOpen(t *target) bool {
	return s.options.Spill == nil || !s.isAway(t) || t.DataCentre == s.crossing.to
}

// nearby returns the targets in this data centre and in the one that the request may be
// sent to; all if there are none.
func (s *Picker) nearby(targets []*target) []*target {
	if s.options.Spill == nil {
		return targets
	}
	var near []*target
	for _, t := range targets {
		if s.isOpen(t) {
			near = append(near, t)
		}
	}
	if len(near) == 0 {
		return targets
	}
	return near
}

// plainAwayCost returns the cost of sending a plain request to a target because of its
// data centre, and the reason for sending it there.
func (s *Picker) plainAwayCost(t *target) (cost float64, reason string) {
	switch {
	case !s.isAway(t):
		return 0, ""
	case s.isOpen(t):
		return crossZoneCost, sentByShare
	default:
		return crossZoneCost + closedCost, sentAsOverflow
	}
}

// awayCost returns the cost of sending a prompt to a target because of its data centre,
// and the reason for sending it there. A prompt follows its cached parts at the cost of
// the bytes: prefilling them again costs much more.
func (s *Picker) awayCost(t *target, r Request, cached int, holders *partHolders) (cost float64, reason string) {
	if !s.isAway(t) {
		return 0, ""
	}
	cost = crossZoneCost * messageBytes(r) / 10_000
	isNew := holders.maxTokens == 0 && len(r.Prompt.Shared()) > 0
	switch {
	case s.isOpen(t):
		return cost, sentByShare
	case isNew || cached >= s.homeTokens(holders)+minFetchTokens:
		return cost, sentToParts
	default:
		return cost + closedCost, sentAsOverflow
	}
}

// homeTokens returns the largest number of shared tokens that an engine in this data
// centre is estimated to hold, counting only the engines with the most tokens and
// confirmed contents.
func (s *Picker) homeTokens(h *partHolders) int {
	if slices.ContainsFunc(h.engines, func(t *target) bool { return !s.isAway(t) }) {
		return h.maxTokens
	}
	return h.bestByDataCentre[s.options.DataCentre].tokens
}

// reporting reports whether reports of the nodes of a data centre arrive, so that the load which they
// cause is known, and the age of their newest report. A data centre that has not reported
// for long has no nodes.
func (s *Picker) reporting(now time.Time, dataCentre string) (time.Duration, bool) {
	if dataCentre == s.options.DataCentre {
		return 0, true
	}
	at, ok := s.crossing.reportedAt[dataCentre]
	if !ok {
		return 0, now.Sub(s.crossing.startedAt) >= firstReportTime
	}
	switch age := now.Sub(at); {
	case age <= maxPeerAge:
		return age, true
	case age < silentTime:
		return age, false
	default:
		return 0, true
	}
}

// hasNodes reports whether nodes of a data centre have reported lately.
func (s *Picker) hasNodes(now time.Time, dataCentre string) bool {
	at, ok := s.crossing.reportedAt[dataCentre]
	return ok && now.Sub(at) <= maxPeerAge
}

// withoutSilent removes the targets in data centres that do not report, unless they hold
// cached parts of the request. It returns all if none would be left.
func (s *Picker) withoutSilent(now time.Time, eligible []*target, r Request) []*target {
	if s.options.Spill == nil {
		return eligible
	}
	silent := map[string]bool{}
	for _, t := range eligible {
		if _, known := silent[t.DataCentre]; !known {
			_, known := s.reporting(now, t.DataCentre)
			silent[t.DataCentre] = !known
		}
	}
	var rest []*target
	partsByVersion := map[uint64][]part{}
	for _, t := range eligible {
		if silent[t.DataCentre] {
			parts := s.partsFor(partsByVersion, r, t.Versions[r.Prompt.Model])
			if cached, _ := t.cache.prefixTokens(parts); cached < minFetchTokens {
				continue
			}
		}
		rest = append(rest, t)
	}
	if !slices.ContainsFunc(rest, func(t *target) bool { return !silent[t.DataCentre] }) {
		return eligible
	}
	return rest
}

// reportAges returns the age of the newest report of each data centre, for other nodes.
func (s *Picker) reportAges(now time.Time) map[string]time.Duration {
	ages := map[string]time.Duration{s.options.DataCentre: 0}
	for name, at := range s.crossing.reportedAt {
		if age := now.Sub(at); age < maxPeerAge && name != s.options.DataCentre {
			ages[name] = age
		}
	}
	return ages
}

func (s *Picker) applyReportAges(now time.Time, ages map[string]time.Duration) {
	for name, age := range ages {
		if at := now.Add(-max(age, 0)); at.After(s.crossing.reportedAt[name]) {
			s.crossing.reportedAt[name] = at
		}
	}
}

// SetWaiting sets the work that waits for targets of a service at nodes of this data
// centre, as time of a target of usual speed.
func (s *Picker) SetWaiting(service string, work time.Duration) { s.crossing.waiting[service] = work }

// UpdateShares computes the shares of requests that are sent to other data centres. It
// returns those that have changed by more than a tenth. It must be called at regular
// intervals.
func (s *Picker) UpdateShares(now time.Time) []spill.Share {
	if s.options.Spill == nil {
		return nil
	}
	if s.crossing.startedAt.IsZero() {
		s.crossing.startedAt = now
	}
	var changed []spill.Share
	for service, targets := range s.services {
		if demands := s.demandsOf(now, service); len(demands) > 0 {
			changed = append(changed, s.options.Spill.Update(now, service, s.sites(now, service, targets), demands)...)
		}
	}
	return changed
}

// Shares returns the shares of requests that are sent to other data centres.
func (s *Picker) Shares() []spill.Share {
	if s.options.Spill == nil {
		return nil
	}
	return s.options.Spill.Shares()
}

// TakeSent returns the number of requests sent to other data centres since the last call.
func (s *Picker) TakeSent() map[Sent]int {
	sent := s.crossing.sent
	s.crossing.sent = map[Sent]int{}
	return sent
}

func (s *Picker) demandsOf(now time.Time, service string) []spill.Demand {
	perToken, _ := s.usualTimes(now, service)
	var all []spill.Demand
	for kind, d := range s.crossing.demands[service] {
		all = append(all, spill.Demand{
			Kind: kind, Objective: time.Duration(d.objective), Rank: d.rank, Bytes: d.bytes,
			PartTime: time.Duration(max(d.missingAway-d.missing, 0) * float64(perToken)),
		})
	}
	return all
}

// sites returns the capacity and load of a service by data centre.
func (s *Picker) sites(now time.Time, service string, targets []*target) map[string]spill.Site {
	perToken, request := s.usualTimes(now, service)
	sums := map[string]*siteSum{s.options.DataCentre: {}}
	for _, t := range targets {
		sum, ok := sums[t.DataCentre]
		if !ok {
			sum = &siteSum{}
			sums[t.DataCentre] = sum
		}
		if !t.Leaving && !t.draining && !now.Before(t.suspectUntil) {
			load, _ := t.load(now)
			sum.add(t, load, 1/s.slowness(now, t))
		}
	}
	all := map[string]spill.Site{}
	for name, sum := range sums {
		age, known := s.reporting(now, name)
		all[name] = spill.Site{
			Rate: sum.rate, Work: float64(sum.tokens)*perToken.Seconds() + float64(sum.requests)*request.Seconds(),
			Occupied: sum.occupied / float64(max(sum.targets, 1)), Hold: s.crossing.holds[service], Age: age, Unknown: !known,
		}
	}
	home := all[s.options.DataCentre]
	home.Waiting = s.crossing.waiting[service].Seconds()
	all[s.options.DataCentre] = home
	return all
}

// siteSum adds up the targets of a service in one data centre.
type siteSum struct {
	targets        int
	rate, occupied float64
	// tokens are the prompt tokens that need prefill, requests the plain requests beyond
	// the slots of their targets.
	tokens, requests int
}

// add adds a target that is as fast as the given number of usual ones.
func (c *siteSum) add(t *target, load Load, speed float64) {
	slots := max(t.Slots, 1)
	c.targets++
	if t.engines == nil {
		c.rate += speed * float64(slots)
		c.requests += max(load.Running+1-slots, 0)
		return
	}
	c.rate += speed
	c.tokens += load.Prefill
	memory := float64(load.Memory) / (maxMemoryShare * float64(max(t.engines.CacheTokens, 1)))
	c.occupied += min(max(float64(load.Running)/float64(slots), memory), 1)
}

// countRequest counts a request that is sent to a target.
func (s *Picker) countRequest(r Request, d Dispatch) {
	kind := s.kind(r)
	if d.away != "" {
		s.crossing.sent[Sent{Service: r.Service, Kind: kind, To: d.Target.DataCentre, Reason: d.away}]++
	}
	if s.crossing.demands[r.Service] == nil {
		s.crossing.demands[r.Service] = map[spill.Kind]*demand{}
	}
	size := messageBytes(r)
	if !s.isModel(r) {
		size = 10_000
	}
	a, ok := s.crossing.demands[r.Service][kind]
	if !ok {
		a = &demand{objective: float64(r.Objective), bytes: size}
		s.crossing.demands[r.Service][kind] = a
	}
	a.rank = r.Rank
	average(&a.objective, float64(r.Objective), demandWeight)
	average(&a.bytes, size, demandWeight)
	missing := float64(max(d.Shared-d.Cached, 0))
	if d.away != "" {
		average(&a.missingAway, missing, demandWeight)
	} else {
		average(&a.missing, missing, demandWeight)
	}
	if s.isModel(r) {
		mean, known := s.crossing.meanTokens[r.Service]
		if !known {
			mean = float64(r.Prompt.Tokens)
		}
		average(&mean, float64(r.Prompt.Tokens), demandWeight)
		s.crossing.meanTokens[r.Service] = mean
	}
}

// observePath compares the time that a run took until its first token, or until its
// answer, with that expected of a target of usual speed. What it takes longer than runs in
// this data centre do is the time of the path: if the speeds of the targets there counted,
// a slow path would pass for slow targets.
func (s *Picker) observePath(now time.Time, run *Run) {
	service, late := run.dest.Service, now.Sub(run.Began)-run.usualTime
	if !s.isAway(run.dest) {
		mean := float64(s.crossing.homeErrors[service])
		average(&mean, float64(late), errorWeight)
		s.crossing.homeErrors[service] = time.Duration(mean)
	} else if s.options.Spill != nil {
		s.options.Spill.Observe(now, run.dest.DataCentre, late-max(s.crossing.homeErrors[service], 0))
	}
}

// observeHold records how long a run occupied its slot.
func (s *Picker) observeHold(now time.Time, run *Run) {
	service, took := run.dest.Service, now.Sub(run.Began)
	mean, known := s.crossing.holds[service]
	if !known {
		mean = took
	}
	s.crossing.holds[service] = mean + time.Duration(errorWeight*float64(took-mean))
}

func average(mean *float64, sample, weight float64) { *mean += weight * (sample - *mean) }
