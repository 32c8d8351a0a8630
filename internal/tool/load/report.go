package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the counts and times of a run.
type Report struct {
	// Requests counts the requests that were sent, by kind.
	Requests map[string]int `json:"requests"`
	// Outcomes counts requests by outcome, and reconnects.
	Outcomes map[string]int `json:"outcomes"`
	// Refusals counts error responses. The key is the error code, whether the request
	// ran, and "retry" if the response had a Retry-After header.
	Refusals map[string]int `json:"refusals"`
	// Violations counts violations of the router's guarantees by kind; it must be
	// empty.
	Violations map[string]int `json:"broken"`
	// TTFT is the time to first token.
	TTFT Quantiles `json:"ttft"`
	// InterToken is the time between tokens.
	InterToken Quantiles `json:"interToken"`
	// PromptTokens, CachedTokens and RecomputedTokens are sums over all chats.
	PromptTokens     int `json:"promptTokens"`
	CachedTokens     int `json:"cachedTokens"`
	RecomputedTokens int `json:"recomputedTokens"`
	// HitRate is CachedTokens divided by PromptTokens.
	HitRate float64 `json:"hitRate"`
	// NotRunIDs are the IDs of chat requests that the router reported as not run.
	NotRunIDs []string `json:"-"`
	// Actions are the outcomes of the calls that must take effect at most once.
	Actions []Action `json:"-"`
}

// Action counts the responses to one call that must take effect at most once, over
// all its attempts.
type Action struct {
	// Key is the idempotency key.
	Key string
	// Answered, NotRun and Unknown count the attempts by outcome.
	Answered, NotRun, Unknown int
}

// Quantiles summarizes a distribution of times in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Quantiles{
		Count: h.TotalCount(), P50: millis(h.ValueAtQuantile(50)), P95: millis(h.ValueAtQuantile(95)),
		P99: millis(h.ValueAtQuantile(99)), Max: millis(h.Max()),
	}
}

// Summary returns a summary in one line, for progress messages.
func (r Report) Summary() string {
	return fmt.Sprintf("sent %d, answered %d, refused %d, reconnects %d, broken %d, ttft p50 %.1f p99 %.1f ms, hit rate %.2f",
		sum(r.Requests), r.Outcomes["answered"], sum(r.Refusals), r.Outcomes["reconnects"], sum(r.Violations), r.TTFT.P50, r.TTFT.P99, r.HitRate)
}

// WriteText writes the report as text.
func (r Report) WriteText(out io.Writer) error {
	var text strings.Builder
	section(&text, "requests", r.Requests)
	section(&text, "outcomes", r.Outcomes)
	section(&text, "refusals", r.Refusals)
	section(&text, "broken promises", r.Violations)
	for _, h := range []struct {
		name string
		q    Quantiles
	}{{"time to first token", r.TTFT}, {"time between tokens", r.InterToken}} {
		fmt.Fprintf(&text, "%-20s n=%d p50=%.2f p95=%.2f p99=%.2f max=%.2f ms\n", h.name, h.q.Count, h.q.P50, h.q.P95, h.q.P99, h.q.Max)
	}
	fmt.Fprintf(&text, "%-20s %.3f of %d prompt tokens, %d recomputed\n", "hit rate", r.HitRate, r.PromptTokens, r.RecomputedTokens)
	_, err := io.WriteString(out, text.String())
	return err
}

// OK reports whether the run found no violation of a guarantee.
func (r Report) OK() bool { return sum(r.Violations) == 0 }

func section(text *strings.Builder, name string, counts map[string]int) {
	fmt.Fprintf(text, "%-20s %d\n", name, sum(counts))
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(text, "  %-40s %d\n", key, counts[key])
	}
}

func sum(counts map[string]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
