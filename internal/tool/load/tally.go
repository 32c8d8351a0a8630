package load

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cicadamill/cicadamill/internal/route/chain"
)

const (
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	maxRecords        = 1 << 20
)

// tally accumulates the counts and times of a run.
type tally struct {
	mu               sync.Mutex
	requests         map[string]int
	outcomes         map[string]int
	refusals         map[string]int
	violations       map[string]int
	ttft             *hdrhistogram.Histogram
	interToken       *hdrhistogram.Histogram
	promptTokens     int
	cachedTokens     int
	recomputedTokens int
	computed         map[string]int
	notRunIDs        []string
	actions          []Action
}

func newTally() *tally {
	return &tally{
		requests: map[string]int{}, outcomes: map[string]int{}, refusals: map[string]int{}, violations: map[string]int{}, computed: map[string]int{},
		ttft: hdrhistogram.New(1, maxMicros, significantDigits), interToken: hdrhistogram.New(1, maxMicros, significantDigits),
	}
}

func (t *tally) countRequest(kind string)        { t.increment(t.requests, kind) }
func (t *tally) countOutcome(outcome string)     { t.increment(t.outcomes, outcome) }
func (t *tally) countSkipped()                   { t.increment(t.outcomes, "skipped") }
func (t *tally) countViolation(violation string) { t.increment(t.violations, violation) }

func (t *tally) increment(counts map[string]int, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts[key]++
}

func (t *tally) countRefusal(code, ran string, retry bool) {
	name := code + "/" + ran
	if retry {
		name += "/retry"
	}
	t.increment(t.refusals, name)
}

func (t *tally) recordTTFT(d time.Duration)       { t.recordTime(t.ttft, d) }
func (t *tally) recordInterToken(d time.Duration) { t.recordTime(t.interToken, d) }

func (t *tally) recordTime(histogram *hdrhistogram.Histogram, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = histogram.RecordValue(min(maxMicros, max(1, d.Microseconds())))
}

func (t *tally) addNotRun(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id != "" && len(t.notRunIDs) < maxRecords {
		t.notRunIDs = append(t.notRunIDs, id)
	}
}

func (t *tally) addAction(a Action) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.actions) < maxRecords {
		t.actions = append(t.actions, a)
	}
}

// markComputed records the prefixes of an answered request as computed by some
// engine.
func (t *tally) markComputed(prefixes [3]string, lengths [3]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, prefix := range prefixes {
		t.computed[prefix] = lengths[i] / chain.BytesPerToken
	}
}

// countTokens adds the prompt tokens of a request, those found in a cache, and those
// computed although an engine had computed them before.
func (t *tally) countTokens(cached, prompt int, prefixes [3]string, lengths [3]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.promptTokens += prompt
	t.cachedTokens += cached
	expected := 0
	for i, prefix := range prefixes {
		if _, ok := t.computed[prefix]; ok {
			expected = lengths[i] / chain.BytesPerToken
		}
	}
	t.recomputedTokens += max(0, expected-cached)
}

func (t *tally) report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{
		Requests: maps.Clone(t.requests), Outcomes: maps.Clone(t.outcomes), Refusals: maps.Clone(t.refusals), Violations: maps.Clone(t.violations),
		TTFT: quantiles(t.ttft), InterToken: quantiles(t.interToken),
		PromptTokens: t.promptTokens, CachedTokens: t.cachedTokens, RecomputedTokens: t.recomputedTokens,
		NotRunIDs: slices.Clone(t.notRunIDs), Actions: slices.Clone(t.actions),
	}
	if t.promptTokens > 0 {
		r.HitRate = float64(t.cachedTokens) / float64(t.promptTokens)
	}
	return r
}
