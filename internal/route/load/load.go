// Package load estimates what an engine has to do: the work that this router
// gave it, known exactly, and the work of others, inferred from reports that
// lag behind.
package load

import (
	"math"
	"time"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	samples    = 64
	sampleStep = 100 * time.Millisecond
	// slack is how far the age of a report may be off.
	slack = 300 * time.Millisecond
	// fade is the time constant with which reported foreign work is forgotten.
	fade = 2 * time.Second
	// The rate of prefill starts from defaultRate, follows samples of at least
	// sampleTokens by rateGain, and stays within rateSpan of its start.
	defaultRate  = 50 * time.Microsecond
	sampleTokens = 1000
	rateGain     = 0.1
	rateSpan     = 8
	// The limit on calls starts open, falls on a busy answer and recovers by
	// one call each recovery.
	openCalls = 1 << 20
	recovery  = 2 * time.Second
	// A batch of less than minBatch calls is not taken for full. Without calls
	// that wait the limit grows by a part of limitGrowth with each report.
	minBatch    = 8
	limitGrowth = 8
)

// Engine is the estimate for one engine. See [New].
type Engine struct {
	prefill, calls int
	ring           [samples]sample
	next           int
	sampled        time.Time
	foreign        sample
	// heard is true when other routers tell of their work themselves.
	heard   bool
	base    float64
	rate    float64
	limit   int
	limited time.Time
}

type sample struct {
	at             time.Time
	prefill, calls int
}

// New returns an estimate for an idle engine of a capacity relative to others.
//
//	e := load.New(1)
//	e.Start(now, 400)
//	wait := e.Wait(now)
func New(capacity float64) *Engine {
	base := defaultRate.Seconds() / capacity
	return &Engine{base: base, rate: base, limit: openCalls}
}

// Start counts a call with a number of prompt tokens to compute.
func (e *Engine) Start(now time.Time, tokens int) {
	e.prefill += tokens
	e.calls++
	e.keep(now)
}

// Adjust corrects the prompt tokens of a call that has started.
func (e *Engine) Adjust(now time.Time, tokens int) {
	e.prefill += tokens
	e.keep(now)
}

// First frees the prompt tokens of a call whose first token came.
func (e *Engine) First(now time.Time, tokens int) {
	e.prefill -= tokens
	e.keep(now)
}

// End frees a call.
func (e *Engine) End(now time.Time) {
	e.calls--
	e.keep(now)
}

// Prefill returns the prompt tokens that the engine has yet to compute.
func (e *Engine) Prefill(now time.Time) int { return e.prefill + e.faded(now, e.foreign.prefill) }

// Calls returns the number of calls at the engine.
func (e *Engine) Calls(now time.Time) int { return e.calls + e.faded(now, e.foreign.calls) }

// Own returns the calls that this router has at the engine.
func (e *Engine) Own() int { return e.calls }

// OwnPrefill returns the prompt tokens that this router has at the engine.
func (e *Engine) OwnPrefill() int { return e.prefill }

// Hear takes what other routers say that they have at the engine.
func (e *Engine) Hear(now time.Time, prefill, calls int) {
	e.foreign = sample{at: now, prefill: prefill, calls: calls}
	e.heard = true
}

// Rate returns the time to compute one prompt token.
func (e *Engine) Rate() float64 { return e.rate }

// Wait returns the time until the engine has computed all prompts given to it.
func (e *Engine) Wait(now time.Time) time.Duration {
	return time.Duration(float64(e.Prefill(now)) * e.rate * float64(time.Second))
}

// Full reports whether the engine has more calls than its batch takes by the
// number extra.
func (e *Engine) Full(now time.Time, extra int) bool {
	for e.limit < openCalls && now.Sub(e.limited) >= recovery {
		e.limit++
		e.limited = e.limited.Add(recovery)
	}
	return e.Calls(now) >= e.limit+extra
}

// Busy takes the engine's word that it is full.
func (e *Engine) Busy(now time.Time) {
	e.limit = max(1, min(e.limit, e.calls))
	e.limited = now
}

// Learn takes the time that a number of prompt tokens took.
func (e *Engine) Learn(tokens int, took time.Duration) {
	if tokens < sampleTokens {
		return
	}
	seen := took.Seconds() / float64(tokens)
	seen = math.Max(e.base/rateSpan, math.Min(e.base*rateSpan, seen))
	e.rate += rateGain * (seen - e.rate)
}

// Report takes an engine's report. What it holds beyond the work of this
// router at that time is the work of others.
func (e *Engine) Report(now time.Time, report engine.Load) {
	at := now.Add(-report.Age)
	own := e.at(at)
	e.slots(now, report)
	if e.heard {
		return
	}
	e.foreign = sample{
		at:      now,
		prefill: max(0, report.PrefillTokens-own.prefill),
		calls:   max(0, report.Running+report.Waiting-own.calls),
	}
}

// slots limits the calls to the engine's batch while calls wait for a place in
// it, where their order can't be changed any more.
func (e *Engine) slots(now time.Time, report engine.Load) {
	switch {
	case report.Waiting > 0 && report.Running >= minBatch:
		e.limit, e.limited = min(e.limit, report.Running+1), now
	case report.Waiting == 0 && e.limit < openCalls:
		e.limit += max(1, e.limit/limitGrowth)
	}
}

// Reset forgets the engine's work, as when it has restarted.
func (e *Engine) Reset() { *e = Engine{base: e.base, rate: e.rate, limit: openCalls} }

func (e *Engine) faded(now time.Time, amount int) int {
	if amount == 0 {
		return 0
	}
	return int(float64(amount) * math.Exp(-now.Sub(e.foreign.at).Seconds()/fade.Seconds()))
}

// keep records this router's work, the largest within each step.
func (e *Engine) keep(now time.Time) {
	current := sample{at: now, prefill: e.prefill, calls: e.calls}
	last := &e.ring[(e.next+samples-1)%samples]
	if now.Sub(e.sampled) < sampleStep {
		last.prefill, last.calls = max(last.prefill, e.prefill), max(last.calls, e.calls)
		last.at = now
		return
	}
	e.sampled = now
	e.ring[e.next] = current
	e.next = (e.next + 1) % samples
}

// at returns the most work that this router had at the engine around a time.
func (e *Engine) at(at time.Time) sample {
	var most, before sample
	for _, s := range e.ring {
		if s.at.After(at.Add(slack)) {
			continue
		}
		if s.at.After(before.at) {
			before = s
		}
		if s.at.After(at.Add(-slack)) {
			most.prefill, most.calls = max(most.prefill, s.prefill), max(most.calls, s.calls)
		}
	}
	return sample{prefill: max(most.prefill, before.prefill), calls: max(most.calls, before.calls)}
}
