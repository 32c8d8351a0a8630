// Package score gathers the figures of one measured run: hit rate, time to
// first token, recomputed tokens, goodput, refusals and fairness.
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
	// Objective is the time to first token within which an answer counts as
	// good.
	Objective = 2 * time.Second

	// Settle is the time in which the tail must be back after a shift.
	Settle = 5 * time.Second

	highestMillis = 60_000
	digits        = 3
	// secondsKept is the length of the series of tail times by second.
	secondsKept = 300
)

// Score gathers the figures while a load runs.
type Score struct {
	load     trace.Load
	all      *hdrhistogram.Histogram
	groups   map[group]*figures
	seconds  [secondsKept][]time.Duration
	computed map[uint64]struct{}
	result   Result
}

type group struct{ workspace, class string }

type figures struct {
	times  *hdrhistogram.Histogram
	offers int
	good   int
}

// Result holds the figures of one run. Times are in milliseconds.
type Result struct {
	// Offered is the number of requests that callers sent.
	Offered int `json:"offered"`
	// Answered is the number of requests that got a first token in time.
	Answered int `json:"answered"`
	// Good is the number whose first token came within [Objective].
	Good int `json:"good"`
	// Refusals is the number of refusals; a caller may get several.
	Refusals int `json:"refusals"`
	// PromptTokens is the number of prompt tokens of answered requests.
	PromptTokens int `json:"promptTokens"`
	// CachedTokens is how many of them came from an engine's cache.
	CachedTokens int `json:"cachedTokens"`
	// RecomputedTokens is the number of tokens in blocks that some engine had
	// computed before.
	RecomputedTokens int `json:"recomputedTokens"`
	// HitRate is CachedTokens by PromptTokens.
	HitRate float64 `json:"hitRate"`
	// Ceiling is the hit rate of one engine with an unbounded cache.
	Ceiling float64 `json:"ceiling"`
	// P50, P95 and P99 are the times to first token; a request without an
	// answer counts with its deadline.
	P50 float64 `json:"p50Millis"`
	P95 float64 `json:"p95Millis"`
	P99 float64 `json:"p99Millis"`
	// Fairness is Jain's index of the workspaces' parts of good answers.
	Fairness float64 `json:"fairness"`
	// Groups are the figures for each workspace and class.
	Groups []Group `json:"groups"`
	// P99Before and P99After are the 99th percentiles of arrivals before the
	// time of the load's fault or shift, and from [Settle] after it.
	P99Before float64 `json:"p99BeforeMillis"`
	P99After  float64 `json:"p99AfterMillis"`
	// Tail is the slowest first token by second of arrival.
	Tail []float64 `json:"tailMillisBySecond"`
}

// Group holds the figures of a workspace and class.
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
	return &Score{load: load, all: histogram(), groups: map[group]*figures{}, computed: map[uint64]struct{}{}}
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestMillis, digits) }

func (s *Score) counts(r *trace.Request) bool { return r.At >= s.load.From && r.At < s.load.To }

func (s *Score) group(r *trace.Request) *figures {
	key := group{r.Job.Workspace, r.Job.Class}
	if s.groups[key] == nil {
		s.groups[key] = &figures{times: histogram()}
	}
	return s.groups[key]
}

// Offer counts a request that a caller sent.
func (s *Score) Offer(r *trace.Request) {
	if s.counts(r) {
		s.result.Offered++
		s.group(r).offers++
	}
}

// First counts the first token of a request.
func (s *Score) First(r *trace.Request, ttft time.Duration, cached int) {
	if !s.counts(r) {
		return
	}
	s.result.Answered++
	s.result.PromptTokens += r.Job.PromptTokens
	s.result.CachedTokens += cached
	if ttft <= Objective {
		s.result.Good++
		s.group(r).good++
	}
	s.record(r, ttft)
}

// Fail counts a request whose caller gave up.
func (s *Score) Fail(r *trace.Request) {
	if s.counts(r) {
		s.record(r, r.Job.Deadline)
	}
}

// Refuse counts a refusal.
func (s *Score) Refuse(r *trace.Request) {
	if s.counts(r) {
		s.result.Refusals++
	}
}

// Computed counts blocks that an engine computed at a time of the load.
func (s *Score) Computed(at time.Duration, blocks []uint64) {
	for _, block := range blocks {
		if _, again := s.computed[block]; again && at >= s.load.From && at < s.load.To {
			s.result.RecomputedTokens += trace.BlockTokens
		}
		s.computed[block] = struct{}{}
	}
}

func (s *Score) record(r *trace.Request, ttft time.Duration) {
	millis := max(1, ttft.Milliseconds())
	_ = s.all.RecordValue(millis)
	_ = s.group(r).times.RecordValue(millis)
	if second := int(r.At / time.Second); second < secondsKept {
		s.seconds[second] = append(s.seconds[second], ttft)
	}
}

// Result returns the figures.
func (s *Score) Result() Result {
	r := s.result
	r.HitRate = ratio(r.CachedTokens, r.PromptTokens)
	r.Ceiling = ceiling(s.load)
	r.P50, r.P95, r.P99 = percentiles(s.all)
	for key, f := range s.groups {
		g := Group{Workspace: key.workspace, Class: key.class, Offered: f.offers, Good: f.good}
		g.P50, g.P95, g.P99 = percentiles(f.times)
		r.Groups = append(r.Groups, g)
	}
	slices.SortFunc(r.Groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
	})
	r.Fairness = fairness(r.Groups)
	r.Tail = s.tail()
	r.P99Before = s.between(s.load.From, trace.FaultAt)
	r.P99After = s.between(trace.FaultAt+Settle, s.load.To)
	return r
}

// between returns the 99th percentile of the arrivals between two times.
func (s *Score) between(from, to time.Duration) float64 {
	h := histogram()
	for second := int(from / time.Second); second < min(secondsKept, int(to/time.Second)); second++ {
		for _, ttft := range s.seconds[second] {
			_ = h.RecordValue(max(1, ttft.Milliseconds()))
		}
	}
	return float64(h.ValueAtQuantile(99))
}

func (s *Score) tail() []float64 {
	var tail []float64
	for second := int(s.load.From / time.Second); second < int(s.load.To/time.Second); second++ {
		times := s.seconds[second]
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

// fairness is Jain's index over the workspaces' parts of good answers.
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

// ceiling is the hit rate of one engine that forgets nothing.
func ceiling(load trace.Load) float64 {
	seen := map[uint64]struct{}{}
	cached, prompt := 0, 0
	for i := range load.Requests {
		r := &load.Requests[i]
		known := 0
		for _, block := range r.Job.Blocks {
			if _, ok := seen[block]; ok {
				known++
			}
			seen[block] = struct{}{}
		}
		if r.At >= load.From && r.At < load.To {
			cached += known * trace.BlockTokens
			prompt += r.Job.PromptTokens
		}
	}
	return ratio(cached, prompt)
}
