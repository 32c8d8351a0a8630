// Package score collects the metrics of a simulated run: hit rate, time to first
// token (TTFT), recomputed tokens, goodput, refusals and fairness.
package score

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cicadamill/cicadamill/internal/tool/trace"
)

const (
	// Objective is the largest time to first token of a request that counts as
	// good.
	Objective = 2 * time.Second

	// Settle is the time after a shift within which the tail latency must recover.
	Settle = 5 * time.Second

	// maxMillis is the largest value that the histograms record.
	maxMillis = 60_000
	// significantDigits is the precision of the histograms.
	significantDigits = 3
	// maxSeconds is the length of the per-second series. It omits requests that
	// arrive later.
	maxSeconds = 300
)

// Score collects metrics while a load runs.
type Score struct {
	load trace.Load
	// overall is the histogram of the time to first token of all requests.
	overall      *hdrhistogram.Histogram
	groups       map[groupKey]*groupStats
	ttftBySecond [maxSeconds][]time.Duration
	computed     map[uint64]struct{}
	result       Result
}

type groupKey struct{ workspace, class string }

type groupStats struct {
	histogram *hdrhistogram.Histogram
	offered   int
	good      int
}

// Result contains the metrics of a run. Times are in milliseconds.
type Result struct {
	// Offered is the number of requests sent by callers, without retries after a
	// refusal.
	Offered int `json:"offered"`
	// Answered is the number of requests that received a first token before their
	// deadline.
	Answered int `json:"answered"`
	// Good is the number of requests whose first token came within [Objective].
	Good int `json:"good"`
	// Refusals is the number of refusals. A request can be refused several times.
	Refusals int `json:"refusals"`
	// PromptTokens is the number of prompt tokens of answered requests.
	PromptTokens int `json:"promptTokens"`
	// CachedTokens is the part of PromptTokens that engines read from their cache.
	CachedTokens int `json:"cachedTokens"`
	// RecomputedTokens is the number of tokens in computed blocks that the same or
	// another engine had computed before.
	RecomputedTokens int `json:"recomputedTokens"`
	// HitRate is CachedTokens divided by PromptTokens.
	HitRate float64 `json:"hitRate"`
	// Ceiling is the hit rate of a single engine with an unbounded cache.
	Ceiling float64 `json:"ceiling"`
	// P50, P95 and P99 are percentiles of the time to first token. A request that
	// timed out counts with its deadline.
	P50 float64 `json:"p50Millis"`
	P95 float64 `json:"p95Millis"`
	P99 float64 `json:"p99Millis"`
	// Fairness is Jain's fairness index of the goodput ratios of the workspaces.
	Fairness float64 `json:"fairness"`
	// Groups contains the metrics by workspace and class.
	Groups []Group `json:"groups"`
	// P99Before and P99After are the 99th percentiles of the requests that arrive
	// before the fault or shift, and of those from [Settle] after it.
	P99Before float64 `json:"p99BeforeMillis"`
	P99After  float64 `json:"p99AfterMillis"`
	// Tail is the largest time to first token by second of arrival.
	Tail []float64 `json:"tailMillisBySecond"`
}

// Group contains the metrics of a workspace and class.
type Group struct {
	Workspace string  `json:"workspace"`
	Class     string  `json:"class"`
	Offered   int     `json:"offered"`
	Good      int     `json:"good"`
	P50       float64 `json:"p50Millis"`
	P95       float64 `json:"p95Millis"`
	P99       float64 `json:"p99Millis"`
}

// New returns an empty score for a load.
//
//	s := score.New(load)
//	s.First(&request, ttft, cachedTokens)
//	result := s.Result()
func New(load trace.Load) *Score {
	return &Score{load: load, overall: newHistogram(), groups: map[groupKey]*groupStats{}, computed: map[uint64]struct{}{}}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMillis, significantDigits) }

// isMeasured reports whether a request arrives in the measured interval.
func (s *Score) isMeasured(r *trace.Request) bool { return r.At >= s.load.From && r.At < s.load.To }

func (s *Score) group(r *trace.Request) *groupStats {
	key := groupKey{r.Job.Workspace, r.Job.Class}
	if s.groups[key] == nil {
		s.groups[key] = &groupStats{histogram: newHistogram()}
	}
	return s.groups[key]
}

// Offer records that a caller sent a request.
func (s *Score) Offer(r *trace.Request) {
	if s.isMeasured(r) {
		s.result.Offered++
		s.group(r).offered++
	}
}

// First records the first token of a request and its number of cached prompt
// tokens.
func (s *Score) First(r *trace.Request, ttft time.Duration, cached int) {
	if !s.isMeasured(r) {
		return
	}
	s.result.Answered++
	s.result.PromptTokens += r.Job.PromptTokens
	s.result.CachedTokens += cached
	if ttft <= Objective {
		s.result.Good++
		s.group(r).good++
	}
	s.recordTTFT(r, ttft)
}

// Fail records a request that timed out.
func (s *Score) Fail(r *trace.Request) {
	if s.isMeasured(r) {
		s.recordTTFT(r, r.Job.Deadline)
	}
}

// Refuse records that a request was refused.
func (s *Score) Refuse(r *trace.Request) {
	if s.isMeasured(r) {
		s.result.Refusals++
	}
}

// Computed records the blocks that an engine computed at a time of the load.
func (s *Score) Computed(at time.Duration, blocks []uint64) {
	for _, block := range blocks {
		if _, seen := s.computed[block]; seen && at >= s.load.From && at < s.load.To {
			s.result.RecomputedTokens += trace.BlockTokens
		}
		s.computed[block] = struct{}{}
	}
}

func (s *Score) recordTTFT(r *trace.Request, ttft time.Duration) {
	millis := max(1, ttft.Milliseconds())
	_ = s.overall.RecordValue(millis)
	_ = s.group(r).histogram.RecordValue(millis)
	if second := int(r.At / time.Second); second < maxSeconds {
		s.ttftBySecond[second] = append(s.ttftBySecond[second], ttft)
	}
}

// Result returns the metrics recorded so far.
func (s *Score) Result() Result {
	r := s.result
	r.HitRate = ratio(r.CachedTokens, r.PromptTokens)
	r.Ceiling = hitRateCeiling(s.load)
	r.P50, r.P95, r.P99 = percentiles(s.overall)
	for key, f := range s.groups {
		g := Group{Workspace: key.workspace, Class: key.class, Offered: f.offered, Good: f.good}
		g.P50, g.P95, g.P99 = percentiles(f.histogram)
		r.Groups = append(r.Groups, g)
	}
	slices.SortFunc(r.Groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
	})
	r.Fairness = fairness(r.Groups)
	r.Tail = s.worstBySecond()
	r.P99Before = s.p99Between(s.load.From, trace.FaultAt)
	r.P99After = s.p99Between(trace.FaultAt+Settle, s.load.To)
	return r
}

// p99Between returns the 99th percentile of the time to first token of the
// requests that arrive between two times.
func (s *Score) p99Between(from, to time.Duration) float64 {
	h := newHistogram()
	for second := int(from / time.Second); second < min(maxSeconds, int(to/time.Second)); second++ {
		for _, ttft := range s.ttftBySecond[second] {
			_ = h.RecordValue(max(1, ttft.Milliseconds()))
		}
	}
	return float64(h.ValueAtQuantile(99))
}

// worstBySecond returns the largest time to first token by second of arrival, or
// zero for a second without arrivals.
func (s *Score) worstBySecond() []float64 {
	var tail []float64
	for second := int(s.load.From / time.Second); second < int(s.load.To/time.Second); second++ {
		times := s.ttftBySecond[second]
		slices.Sort(times)
		worst := 0.0
		if len(times) > 0 {
			worst = float64(times[len(times)-1].Milliseconds())
		}
		tail = append(tail, worst)
	}
	return tail
}

func percentiles(h *hdrhistogram.Histogram) (p50, p95, p99 float64) {
	return float64(h.ValueAtQuantile(50)), float64(h.ValueAtQuantile(95)), float64(h.ValueAtQuantile(99))
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// fairness returns Jain's fairness index of the workspaces' ratios of good to
// offered requests.
func fairness(groups []Group) float64 {
	offered, good := map[string]int{}, map[string]int{}
	for _, g := range groups {
		offered[g.Workspace] += g.Offered
		good[g.Workspace] += g.Good
	}
	sum, squares, n := 0.0, 0.0, 0.0
	for _, workspace := range slices.Sorted(maps.Keys(offered)) {
		x := ratio(good[workspace], offered[workspace])
		sum, squares, n = sum+x, squares+x*x, n+1
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// hitRateCeiling returns the hit rate of a single engine with an unbounded cache.
func hitRateCeiling(load trace.Load) float64 {
	seen := map[uint64]struct{}{}
	cached, prompt := 0, 0
	for i := range load.Requests {
		r := &load.Requests[i]
		hits := 0
		for _, block := range r.Job.Blocks {
			if _, ok := seen[block]; ok {
				hits++
			}
			seen[block] = struct{}{}
		}
		if r.At >= load.From && r.At < load.To {
			cached += hits * trace.BlockTokens
			prompt += r.Job.PromptTokens
		}
	}
	return ratio(cached, prompt)
}
