// Package judge holds measured runs against the targets that the users set.
package judge

import (
	"github.com/cicadamill/cicadamill/internal/tool/bench"
	"github.com/cicadamill/cicadamill/internal/tool/rival"
	"github.com/cicadamill/cicadamill/internal/tool/score"
	"github.com/cicadamill/cicadamill/internal/tool/trace"
)

// The targets.
const (
	minHitOfCeiling      = 0.95
	maxSteadyRecomputed  = 0.3
	maxHerdOfLeastLoaded = 0.5
	maxHerdOfPrefixHash  = 0.8
	minHerdHit           = 0.85
	maxSurgeRecomputed   = 0.5
	maxShiftTail         = 1.2
	maxFloodTail         = 1.5
)

// Verdict is one target with the figure that was measured.
type Verdict struct {
	// Site, Load and Target name the target.
	Site, Load, Target string
	// Figure is what was measured, Bound what was set.
	Figure, Bound float64
	// Met tells whether the figure keeps the bound.
	Met bool
}

// bySite holds the results of one site and of the judged policy.
type bySite struct {
	site     string
	policy   string
	results  map[string]map[string]score.Result
	verdicts []Verdict
}

// All judges a policy on every site of the rows. A target whose runs are not
// among the rows is left out.
//
//	for _, v := range judge.All(rows, "home") {
//		fmt.Println(v.Site, v.Target, v.Figure, v.Met)
//	}
func All(rows []bench.Row, policy string) []Verdict {
	sites := map[string]*bySite{}
	var order []*bySite
	for _, row := range rows {
		s, ok := sites[row.Site]
		if !ok {
			s = &bySite{site: row.Site, policy: policy, results: map[string]map[string]score.Result{}}
			sites[row.Site] = s
			order = append(order, s)
		}
		if s.results[row.Load] == nil {
			s.results[row.Load] = map[string]score.Result{}
		}
		s.results[row.Load][row.Policy] = row.Result
	}
	var verdicts []Verdict
	for _, s := range order {
		s.steady()
		s.herd()
		s.surge()
		s.shift()
		s.every()
		s.flood()
		verdicts = append(verdicts, s.verdicts...)
	}
	return verdicts
}

func (s *bySite) own(load string) (score.Result, bool) {
	r, ok := s.results[load][s.policy]
	return r, ok
}

func (s *bySite) atMost(load, target string, figure, bound float64) {
	s.verdicts = append(s.verdicts, Verdict{s.site, load, target, figure, bound, figure <= bound})
}

func (s *bySite) atLeast(load, target string, figure, bound float64) {
	s.verdicts = append(s.verdicts, Verdict{s.site, load, target, figure, bound, figure >= bound})
}

func (s *bySite) steady() {
	own, ok := s.own("steady")
	if !ok {
		return
	}
	s.atLeast("steady", "hit rate by ceiling", own.HitRate/own.Ceiling, minHitOfCeiling)
	if least, ok := s.results["steady"][string(rival.LeastLoaded)]; ok {
		s.atMost("steady", "recomputed by least loaded", ratio(own.RecomputedTokens, least.RecomputedTokens), maxSteadyRecomputed)
	}
}

func (s *bySite) herd() {
	own, ok := s.own("herd")
	if !ok {
		return
	}
	if least, ok := s.results["herd"][string(rival.LeastLoaded)]; ok {
		s.atMost("herd", "p99 by least loaded", own.P99/least.P99, maxHerdOfLeastLoaded)
	}
	if hash, ok := s.results["herd"][string(rival.PrefixHash)]; ok {
		s.atMost("herd", "p99 by prefix hash", own.P99/hash.P99, maxHerdOfPrefixHash)
	}
	if steady, ok := s.own("steady"); ok {
		s.atLeast("herd", "hit rate by steady", own.HitRate/steady.HitRate, minHerdHit)
	}
}

func (s *bySite) surge() {
	own, ok := s.own("monsoon")
	baseline, found := s.best("monsoon")
	if ok && found {
		s.atMost("monsoon", "recomputed by best baseline", ratio(own.RecomputedTokens, baseline.RecomputedTokens), maxSurgeRecomputed)
	}
}

// shift compares the tail after the time to settle with the tail before.
func (s *bySite) shift() {
	if own, ok := s.own("shift"); ok {
		s.atMost("shift", "p99 from 5 s after by before", own.P99After/own.P99Before, maxShiftTail)
	}
}

// every compares goodput and tail with the best baseline on each load.
func (s *bySite) every() {
	for _, load := range trace.Names() {
		own, ok := s.own(load)
		baseline, found := s.best(load)
		if !ok || !found {
			continue
		}
		s.atLeast(load, "goodput by best baseline", ratio(own.Good, baseline.Good), 1)
		s.atMost(load, "p99 by best baseline", own.P99/baseline.P99, 1)
	}
}

// flood compares each small workspace with itself when alone.
func (s *bySite) flood() {
	beside, ok := s.own("flood")
	alone, found := s.own("alone")
	if !ok || !found {
		return
	}
	figure := 0.0
	for _, g := range alone.Groups {
		for _, other := range beside.Groups {
			if other.Workspace == g.Workspace && other.Class == g.Class && g.Class == "interactive" {
				figure = max(figure, other.P99/g.P99)
			}
		}
	}
	s.atMost("flood", "worst small p99 by alone", figure, maxFloodTail)
}

// best takes the best figure of any baseline for each measure.
func (s *bySite) best(load string) (score.Result, bool) {
	best, found := score.Result{}, false
	for _, kind := range []rival.Kind{rival.RoundRobin, rival.LeastLoaded, rival.PrefixHash} {
		r, ok := s.results[load][string(kind)]
		switch {
		case !ok:
		case !found:
			best, found = r, true
		default:
			best.P99 = min(best.P99, r.P99)
			best.Good = max(best.Good, r.Good)
			best.RecomputedTokens = min(best.RecomputedTokens, r.RecomputedTokens)
		}
	}
	return best, found
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
