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
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	digits    = 3
	maxKept   = 1 << 20
)

// tally collects what happened.
type tally struct {
	mu       sync.Mutex
	begun    map[string]int
	counts   map[string]int
	refusals map[string]int
	promises map[string]int
	ttft     *hdrhistogram.Histogram
	gaps     *hdrhistogram.Histogram
	prompt   int
	hit      int
	again    int
	known    map[string]int
	ids      []string
	actions  []Action
}

func newTally() *tally {
	return &tally{
		begun: map[string]int{}, counts: map[string]int{}, refusals: map[string]int{}, promises: map[string]int{}, known: map[string]int{},
		ttft: hdrhistogram.New(1, maxMicros, digits), gaps: hdrhistogram.New(1, maxMicros, digits),
	}
}

func (t *tally) begin(kind string) { t.bump(t.begun, kind) }
func (t *tally) count(what string) { t.bump(t.counts, what) }
func (t *tally) skip()             { t.bump(t.counts, "skipped") }
func (t *tally) broken(why string) { t.bump(t.promises, why) }

func (t *tally) bump(in map[string]int, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	in[key]++
}

func (t *tally) refuse(code, ran string, retry bool) {
	name := code + "/" + ran
	if retry {
		name += "/retry"
	}
	t.bump(t.refusals, name)
}

func (t *tally) first(d time.Duration) { t.record(t.ttft, d) }
func (t *tally) gap(d time.Duration)   { t.record(t.gaps, d) }

func (t *tally) record(in *hdrhistogram.Histogram, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = in.RecordValue(min(maxMicros, max(1, d.Microseconds())))
}

func (t *tally) notRun(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id != "" && len(t.ids) < maxKept {
		t.ids = append(t.ids, id)
	}
}

func (t *tally) action(a Action) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.actions) < maxKept {
		t.actions = append(t.actions, a)
	}
}

// learn notes the prefixes that some engine has computed.
func (t *tally) learn(prefixes [3]string, lengths [3]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, prefix := range prefixes {
		t.known[prefix] = lengths[i] / chain.BytesPerToken
	}
}

// cache counts prompt tokens, those found in a cache, and those computed
// though an engine had computed them before.
func (t *tally) cache(cached, prompt int, prefixes [3]string, lengths [3]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prompt += prompt
	t.hit += cached
	known := 0
	for i, prefix := range prefixes {
		if _, ok := t.known[prefix]; ok {
			known = lengths[i] / chain.BytesPerToken
		}
	}
	t.again += max(0, known-cached)
}

func (t *tally) report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{
		Requests: maps.Clone(t.begun), Outcomes: maps.Clone(t.counts), Refusals: maps.Clone(t.refusals), Broken: maps.Clone(t.promises),
		TTFT: quantiles(t.ttft), InterToken: quantiles(t.gaps),
		PromptTokens: t.prompt, CachedTokens: t.hit, RecomputedTokens: t.again,
		NotRun: slices.Clone(t.ids), Actions: slices.Clone(t.actions),
	}
	if t.prompt > 0 {
		r.HitRate = float64(t.hit) / float64(t.prompt)
	}
	return r
}
