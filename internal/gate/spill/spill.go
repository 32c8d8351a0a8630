// Package spill decides which share of a data centre's requests is sent to other data
// centres.
//
// Every host computes the shares of its own data centre from the load of all targets,
// which all hosts know from the load reports. The figures are up to 0.45 s old, so a
// share follows the difference of the waiting times as a proportional-integral
// controller does: the proportional part moves the present backlog, and the integral part
// learns the lasting excess of demand.
// In equilibrium the last request sent gains as much time as it costs.
package spill

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// horizon is the time in which the proportional part would move a backlog. With
	// figures that are up to 0.45 s old shares do not oscillate even then, since a request
	// that may be sent still goes to the cheaper target. Longer horizons give more late
	// responses, shorter ones more bytes.
	horizon = 150 * time.Millisecond
	// integralTime is the time in which a constant difference adds as much to the
	// integral part as the proportional part has.
	integralTime = time.Second
	// decayTime is the time constant with which the integral part decays while sending
	// does not pay off.
	decayTime = 1500 * time.Millisecond
	// maxAge is the age from which figures are not used: twice the time within which
	// reports reach every host, since hosts with little CPU send them late.
	maxAge = time.Second
	// maxGap is the longest time between two updates that the integral part survives.
	// After a longer one, the host was suspended.
	maxGap = time.Second
	// minShare is the least share other than zero: less is noise of the figures.
	minShare = 0.005
	// maxShare keeps some requests at home, whose times show when sending no longer
	// pays off.
	maxShare = 0.9
	// reserve is the part of the strictest objective that the waiting time in the
	// other data centre may reach by work sent there.
	reserve = 0.4
	// lowerRankReserve is the part of that for requests which are not the most urgent
	// ones of their service.
	lowerRankReserve = 0.75
	// byteCost is the part of its objective that a request may be slower to keep 10 kB
	// from being sent between data centres. It is the ratio of the costs of bytes and
	// of time in package pick.
	byteCost = 0.06
	// tailWait is the part of the objective that the mean waiting time may reach before
	// responses become late: some requests wait several times the mean.
	tailWait = 0.05
	// lateUrgency is how much more a second is worth once responses become late, than
	// one that is saved on responses in time. It is the ratio of the slopes of both
	// costs in package pick, 0.7 in a third of the objective to 0.1 in the whole.
	lateUrgency = 20
	// crowded is the share of occupied places from which requests have to wait for one.
	crowded = 0.8
	// transitWeight is the weight of one response in the measured time of a path.
	transitWeight = 0.1
	// transitDecay is the time constant with which a measured time is forgotten while
	// nothing is sent, so that a path which has recovered is tried again.
	transitDecay = 20 * time.Second
	// loggedChange is the least change of a share that is reported as a change.
	loggedChange = 0.1
)

// key identifies a flow from this host's data centre.
type key struct {
	service string
	kind    Kind
	to      string
}

// flow is the state of one share.
type flow struct {
	// integral is the integral part of the share.
	integral float64
	share    Share
	// reported is the share last returned as a change.
	reported float64
}

// transit is the measured additional time of requests sent to another data centre.
type transit struct {
	extra time.Duration
	at    time.Time
}

// Spill holds the shares of one host's data centre. It is not safe for concurrent use.
// See [New].
type Spill struct {
	home  string
	flows map[key]*flow
	// sorted are the flows in the order of their keys.
	sorted   []*flow
	rates    map[string]map[string]float64
	transits map[string]*transit
	updated  map[string]time.Time
}

// New returns a Spill for a host in the given data centre, with shares of zero.
//
//	s := spill.New("east")
//	changes := s.Update(now, "lm", sites, demands)
//	to := s.Draw(now, "lm", spill.LongPrompt, random.Float64())
func New(home string) *Spill {
	return &Spill{home: home, flows: map[key]*flow{}, rates: map[string]map[string]float64{}, transits: map[string]*transit{}, updated: map[string]time.Time{}}
}

// Observe records by how much a request that was sent to another data centre took
// longer than its target was expected to take.
func (s *Spill) Observe(now time.Time, to string, extra time.Duration) {
	t, ok := s.transits[to]
	if !ok {
		s.transits[to] = &transit{extra: max(extra, 0), at: now}
		return
	}
	t.extra = max(t.extra+time.Duration(transitWeight*float64(extra-t.extra)), 0)
	t.at = now
}

func (s *Spill) transitTo(now time.Time, to string) time.Duration {
	t, ok := s.transits[to]
	if !ok {
		return 0
	}
	idle := now.Sub(t.at)
	return time.Duration(float64(t.extra) * math.Exp(-float64(idle)/float64(transitDecay)))
}

// Draw returns the data centre that a request may be sent to, for a random number in
// [0, 1); empty for none. A host that was suspended uses no shares of before.
func (s *Spill) Draw(now time.Time, service string, kind Kind, random float64) string {
	if now.Sub(s.updated[service]) > maxGap {
		return ""
	}
	for _, f := range s.sorted {
		if f.share.Service != service || f.share.Kind != kind {
			continue
		}
		if random < f.share.Share {
			return f.share.To
		}
		random -= f.share.Share
	}
	return ""
}

// Shares returns all shares, sorted.
func (s *Spill) Shares() []Share {
	var all []Share
	for _, f := range s.sorted {
		all = append(all, f.share)
	}
	return all
}

// Update computes the shares of a service from the figures of all data centres, and
// returns those that have changed by more than a tenth since they were last returned.
func (s *Spill) Update(now time.Time, service string, sites map[string]Site, demands []Demand) []Share {
	step, resumed := now.Sub(s.updated[service]), false
	if step > maxGap {
		step, resumed = 0, true
	}
	s.updated[service] = now
	s.scaleToRates(service, sites)
	for k := range s.flows {
		if _, ok := sites[k.to]; !ok && k.service == service {
			sites[k.to] = Site{}
		}
	}
	total := 0.0
	for _, site := range sites {
		total += site.Rate
	}
	for _, d := range demands {
		var flows []*flow
		for to, site := range sites {
			if to == s.home {
				continue
			}
			f := s.flow(key{service: service, kind: d.Kind, to: to})
			if resumed {
				f.integral = 0
			}
			f.update(step, d, exchange{
				home: sites[s.home], away: site, totalRate: total,
				transit: s.transitTo(now, to), limit: waitLimit(d, demands),
			})
			flows = append(flows, f)
		}
		limitTotal(flows)
	}
	return s.changes(service)
}

func (s *Spill) flow(k key) *flow {
	f, ok := s.flows[k]
	if !ok {
		f = &flow{share: Share{Service: k.service, Kind: k.kind, To: k.to}}
		s.flows[k] = f
		s.sorted = slices.SortedFunc(maps.Values(s.flows), func(a, b *flow) int {
			return cmp.Or(cmp.Compare(a.share.Service, b.share.Service), cmp.Compare(a.share.Kind, b.share.Kind), cmp.Compare(a.share.To, b.share.To))
		})
	}
	return f
}

// scaleToRates reduces the integral parts by as much as the other data centre has lost
// of its capacity, before its waiting time shows the loss.
func (s *Spill) scaleToRates(service string, sites map[string]Site) {
	rates := map[string]float64{}
	for name, site := range sites {
		rates[name] = site.Rate
	}
	for k, f := range s.flows {
		if before := s.rates[service][k.to]; k.service == service && before > 0 && rates[k.to] < before {
			f.integral *= rates[k.to] / before
		}
	}
	s.rates[service] = rates
}

// changes returns the shares of a service that have changed by more than a tenth since
// they were last returned.
func (s *Spill) changes(service string) []Share {
	var changed []Share
	for _, f := range s.sorted {
		if f.share.Service == service && math.Abs(f.share.Share-f.reported) > loggedChange {
			f.reported = f.share.Share
			changed = append(changed, f.share)
		}
	}
	return changed
}

// waitLimit returns the waiting time in another data centre up to which it takes
// requests of a kind.
func waitLimit(d Demand, all []Demand) time.Duration {
	strictest, part := d.Objective, reserve
	for _, other := range all {
		strictest = min(strictest, other.Objective)
		if other.Rank < d.Rank {
			part = reserve * lowerRankReserve
		}
	}
	return time.Duration(part * float64(strictest))
}

// limitTotal keeps the sum of shares at maxShare.
func limitTotal(flows []*flow) {
	total := 0.0
	for _, f := range flows {
		total += f.share.Share
	}
	if total <= maxShare {
		return
	}
	for _, f := range flows {
		f.share.Share *= maxShare / total
		f.integral = min(f.integral, f.share.Share)
	}
}

// wait returns the time that a request waits in a data centre before it begins to run.
func (s Site) wait() time.Duration {
	if s.Rate <= 0 {
		return math.MaxInt64 / 4
	}
	wait := time.Duration((s.Work + s.Waiting) / s.Rate * float64(time.Second))
	if over := (s.Occupied - crowded) / (1 - crowded); over > 0 {
		wait += time.Duration(over * float64(s.Hold))
	}
	return wait
}

func (s Site) stale() bool { return s.Unknown || s.Age > maxAge }

// exchange is what the share from one data centre to another depends on.
type exchange struct {
	home, away Site
	// totalRate is the rate of all data centres.
	totalRate float64
	// transit is the measured additional time of requests sent there.
	transit time.Duration
	// limit is the waiting time up to which the other data centre takes requests.
	limit time.Duration
}

// update computes the share after a step of time.
func (f *flow) update(step time.Duration, d Demand, x exchange) {
	homeWait, awayWait := x.home.wait(), x.away.wait()
	f.share.HomeWait, f.share.AwayWait = homeWait, awayWait
	f.share.HomeAge, f.share.AwayAge = x.home.Age, x.away.Age
	f.share.Cost = x.transit + d.PartTime + time.Duration(byteCost*d.Bytes/10_000*float64(d.Objective)/urgency(homeWait, d))
	switch {
	case x.away.Rate <= 0:
		f.integral, f.share.Share, f.share.Reason = 0, 0, NoTarget
		return
	case x.home.stale() || x.away.stale():
		f.integral *= math.Exp(-float64(step) / float64(decayTime))
		f.share.Share, f.share.Reason = 0, Stale
		return
	}
	gain := min(homeWait-awayWait-f.share.Cost, d.Objective)
	// The work that equalizes the waiting times, if all other data centres take their
	// part of it.
	part := x.away.Rate / x.totalRate
	proportional := part * float64(gain) / float64(horizon)
	room := min(max(2-2*float64(awayWait)/float64(x.limit), 0), 1)
	if gain > 0 {
		f.integral += proportional * room * float64(step) / float64(integralTime)
	} else {
		f.integral += proportional * float64(step) / float64(integralTime)
		f.integral *= math.Exp(-float64(step) / float64(decayTime))
	}
	f.integral = min(max(f.integral, 0), maxShare)
	f.share.Share = min(max(proportional+f.integral, 0)*room, maxShare)
	f.share.Reason = Gain
	switch {
	case f.share.Share >= minShare:
	case gain > 0:
		f.share.Share, f.share.Reason = 0, NoRoom
	default:
		f.share.Share, f.share.Reason = 0, NoGain
	}
}

// urgency returns how much more the time of a request is worth than that of one which
// does not wait.
func urgency(wait time.Duration, d Demand) float64 {
	risk := float64(wait)/float64(d.Objective)/tailWait - 1
	return 1 + (lateUrgency-1)*min(max(risk, 0), 1)
}
