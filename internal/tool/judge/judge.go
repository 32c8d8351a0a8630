// Package judge compares the figures of measured runs with the targets that users
// set for the routing policy.
package judge

import (
	"github.com/cicadamill/cicadamill/internal/tool/bench"
	"github.com/cicadamill/cicadamill/internal/tool/policy"
	"github.com/cicadamill/cicadamill/internal/tool/score"
	"github.com/cicadamill/cicadamill/internal/tool/synth"
)

// The bounds of the targets, each for the ratio of a figure to its reference, as the
// target's name says. A tail is the 99th percentile of the time to first token.
const (
	minHitRateByCeiling      = 0.95
	maxSteadyRecomputed      = 0.3
	maxHerdTailByLeastLoaded = 0.5
	maxHerdTailByPrefixHash  = 0.8
	minHerdHitRate           = 0.85
	maxSurgeRecomputed       = 0.5
	maxShiftTail             = 1.2
	maxFloodTail             = 1.5
)

// Verdict compares one measured figure with its target.
type Verdict struct {
	// Site, Load and Target identify the target.
	Site, Load, Target string
	// Figure is the measured value, Bound the limit that the target sets.
	Figure, Bound float64
	// Met reports whether Figure is within Bound.
	Met bool
}

// siteResults holds the results of one site by load and policy, and the verdicts on
// one policy.
type siteResults struct {
	site     string
	policy   string
	results  map[string]map[string]score.Result
	verdicts []Verdict
}

// Verdicts returns the verdicts on a policy for every site of the rows. It omits
// targets whose runs are not among the rows.
//
//	for _, v := range judge.Verdicts(rows, "home") {
//		fmt.Println(v.Site, v.Target, v.Figure, v.Met)
//	}
func Verdicts(rows []bench.Row, policy string) []Verdict {
	sites := map[string]*siteResults{}
	var order []*siteResults
	for _, row := range rows {
		s, ok := sites[row.Site]
		if !ok {
			s = &siteResults{site: row.Site, policy: policy, results: map[string]map[string]score.Result{}}
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
		s.judgeSteady()
		s.judgeHerd()
		s.judgeSurge()
		s.judgeShift()
		s.judgeBaselines()
		s.judgeFlood()
		verdicts = append(verdicts, s.verdicts...)
	}
	return verdicts
}

func (s *siteResults) result(load string) (score.Result, bool) {
	r, ok := s.results[load][s.policy]
	return r, ok
}

func (s *siteResults) atMost(load, target string, figure, bound float64) {
	s.verdicts = append(s.verdicts, Verdict{s.site, load, target, figure, bound, figure <= bound})
}

func (s *siteResults) atLeast(load, target string, figure, bound float64) {
	s.verdicts = append(s.verdicts, Verdict{s.site, load, target, figure, bound, figure >= bound})
}

func (s *siteResults) judgeSteady() {
	own, ok := s.result("steady")
	if !ok {
		return
	}
	s.atLeast("steady", "hit rate by ceiling", own.HitRate/own.HitRateCeiling, minHitRateByCeiling)
	if least, ok := s.results["steady"][string(policy.LeastLoaded)]; ok {
		s.atMost("steady", "recomputed by least loaded", ratio(own.RecomputedTokens, least.RecomputedTokens), maxSteadyRecomputed)
	}
}

func (s *siteResults) judgeHerd() {
	own, ok := s.result("herd")
	if !ok {
		return
	}
	if least, ok := s.results["herd"][string(policy.LeastLoaded)]; ok {
		s.atMost("herd", "p99 by least loaded", own.P99/least.P99, maxHerdTailByLeastLoaded)
	}
	if hash, ok := s.results["herd"][string(policy.PrefixHash)]; ok {
		s.atMost("herd", "p99 by prefix hash", own.P99/hash.P99, maxHerdTailByPrefixHash)
	}
	if steady, ok := s.result("steady"); ok {
		s.atLeast("herd", "hit rate by steady", own.HitRate/steady.HitRate, minHerdHitRate)
	}
}

func (s *siteResults) judgeSurge() {
	own, ok := s.result("monsoon")
	baseline, found := s.bestBaseline("monsoon")
	if ok && found {
		s.atMost("monsoon", "recomputed by best baseline", ratio(own.RecomputedTokens, baseline.RecomputedTokens), maxSurgeRecomputed)
	}
}

// judgeShift compares the tail from [score.SettleTime] after the shift with the tail
// before it.
func (s *siteResults) judgeShift() {
	if own, ok := s.result("shift"); ok {
		s.atMost("shift", "p99 from 5 s after by before", own.P99After/own.P99Before, maxShiftTail)
	}
}

// judgeBaselines compares goodput and tail with those of the best baseline on each
// load.
func (s *siteResults) judgeBaselines() {
	for _, load := range synth.LoadNames() {
		own, ok := s.result(load)
		baseline, found := s.bestBaseline(load)
		if !ok || !found {
			continue
		}
		s.atLeast(load, "goodput by best baseline", ratio(own.Good, baseline.Good), 1)
		s.atMost(load, "p99 by best baseline", own.P99/baseline.P99, 1)
	}
}

// judgeFlood compares the tail of each small workspace beside a flood from the
// largest with its tail without the flood, and takes the worst.
func (s *siteResults) judgeFlood() {
	flooded, ok := s.result("flood")
	alone, found := s.result("alone")
	if !ok || !found {
		return
	}
	worst := 0.0
	for _, g := range alone.Groups {
		for _, other := range flooded.Groups {
			if other.Workspace == g.Workspace && other.Class == g.Class && g.Class == "interactive" {
				worst = max(worst, other.P99/g.P99)
			}
		}
	}
	s.atMost("flood", "worst small p99 by alone", worst, maxFloodTail)
}

// bestBaseline combines the best figure of any baseline for each measure.
func (s *siteResults) bestBaseline(load string) (score.Result, bool) {
	best, found := score.Result{}, false
	for _, kind := range []policy.Kind{policy.RoundRobin, policy.LeastLoaded, policy.PrefixHash} {
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
