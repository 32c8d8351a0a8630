// Package score collects the metrics of a simulated run: hit rate, time to first
// token (TTFT), recomputed tokens, goodput, refusals and fairness.
package score

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cicadamill/cicadamill/internal/tool/synth"
)

const (
	// GoodTTFT is the largest time to first token of a request that counts as
	// good.
	GoodTTFT = 2 * time.Second

	// SettleTime is the time after a shift within which the tail latency must recover.
	SettleTime = 5 * time.Second

	// maxMillis is the largest value that the histograms record.
	maxMillis = 60_000
	// significantDigits is the precision of the histograms.
	significantDigits = 3
	// maxSeconds is the length of the per-second series. It omits requests that
	// arrive later.
	maxSeconds = 300
)

// Collector collects metrics while a load runs.
type Collector struct {
	load synth.Load
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
	// Good is the number of requests whose first token came within [GoodTTFT].
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
	// HitRateCeiling is the hit rate of a single engine with an unbounded cache.
	HitRateCeiling float64 `json:"ceiling"`
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
	// before the fault or shift, and of those from [SettleTime] after it.
	P99Before float64 `json:"p99BeforeMillis"`
	P99After  float64 `json:"p99AfterMillis"`
	// WorstTTFT is the largest time to first token by second of arrival.
	WorstTTFT []float64 `json:"tailMillisBySecond"`
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
func New(load synth.Load) *Collector {
	return &Collector{load: load, overall: newHistogram(), groups: map[groupKey]*groupStats{}, computed: map[uint64]struct{}{}}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMillis, significantDigits) }

// isMeasured reports whether a request arrives in the measured interval.
func (c *Collector) isMeasured(r *synth.Request) bool {
	return r.At >= c.load.MeasureFrom && r.At < c.load.MeasureTo
}

func (c *Collector) group(r *synth.Request) *groupStats {
	key := groupKey{r.Job.Workspace, r.Job.Class}
	if c.groups[key] == nil {
		c.groups[key] = &groupStats{histogram: newHistogram()}
	}
	return c.groups[key]
}

// Offer records that a caller sent a request.
func (c *Collector) Offer(r *synth.Request) {
	if c.isMeasured(r) {
		c.result.Offered++
		c.group(r).offered++
	}
}

// FirstToken records the first token of a request and its number of cached prompt
// tokens.
func (c *Collector) FirstToken(r *synth.Request, ttft time.Duration, cached int) {
	if !c.isMeasured(r) {
		return
	}
	c.result.Answered++
	c.result.PromptTokens += r.Job.PromptTokens
	c.result.CachedTokens += cached
	if ttft <= GoodTTFT {
		c.result.Good++
		c.group(r).good++
	}
	c.recordTTFT(r, ttft)
}

// TimedOut records a request that timed out.
func (c *Collector) TimedOut(r *synth.Request) {
	if c.isMeasured(r) {
		c.recordTTFT(r, r.Job.Deadline)
	}
}

// Refuse records that a request was refused.
func (c *Collector) Refuse(r *synth.Request) {
	if c.isMeasured(r) {
		c.result.Refusals++
	}
}

// BlocksComputed records the blocks that an engine computed at a time of the load.
func (c *Collector) BlocksComputed(at time.Duration, blocks []uint64) {
	for _, block := range blocks {
		if _, seen := c.computed[block]; seen && at >= c.load.MeasureFrom && at < c.load.MeasureTo {
			c.result.RecomputedTokens += synth.BlockTokens
		}
		c.computed[block] = struct{}{}
	}
}

func (c *Collector) recordTTFT(r *synth.Request, ttft time.Duration) {
	millis := max(1, ttft.Milliseconds())
	_ = c.overall.RecordValue(millis)
	_ = c.group(r).histogram.RecordValue(millis)
	if second := int(r.At / time.Second); second < maxSeconds {
		c.ttftBySecond[second] = append(c.ttftBySecond[second], ttft)
	}
}

// Result returns the metrics recorded so far.
func (c *Collector) Result() Result {
	r := c.result
	r.HitRate = ratio(r.CachedTokens, r.PromptTokens)
	r.HitRateCeiling = hitRateCeiling(c.load)
	r.P50, r.P95, r.P99 = percentiles(c.overall)
	for key, f := range c.groups {
		g := Group{Workspace: key.workspace, Class: key.class, Offered: f.offered, Good: f.good}
		g.P50, g.P95, g.P99 = percentiles(f.histogram)
		r.Groups = append(r.Groups, g)
	}
	slices.SortFunc(r.Groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
	})
	r.Fairness = fairness(r.Groups)
	r.WorstTTFT = c.worstBySecond()
	r.P99Before = c.p99Between(c.load.MeasureFrom, synth.FaultAt)
	r.P99After = c.p99Between(synth.FaultAt+SettleTime, c.load.MeasureTo)
	return r
}

// p99Between returns the 99th percentile of the time to first token of the
// requests that arrive between two times.
func (c *Collector) p99Between(from, to time.Duration) float64 {
	h := newHistogram()
	for second := int(from / time.Second); second < min(maxSeconds, int(to/time.Second)); second++ {
		for _, ttft := range c.ttftBySecond[second] {
			_ = h.RecordValue(max(1, ttft.Milliseconds()))
		}
	}
	return float64(h.ValueAtQuantile(99))
}

// worstBySecond returns the largest time to first token by second of arrival, or
// zero for a second without arrivals.
func (c *Collector) worstBySecond() []float64 {
	var tail []float64
	for second := int(c.load.MeasureFrom / time.Second); second < int(c.load.MeasureTo/time.Second); second++ {
		times := c.ttftBySecond[second]
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
func hitRateCeiling(load synth.Load) float64 {
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
		if r.At >= load.MeasureFrom && r.At < load.MeasureTo {
			cached += hits * synth.BlockTokens
			prompt += r.Job.PromptTokens
		}
	}
	return ratio(cached, prompt)
}
