// Package load estimates the load of an engine. It counts this node's own work
// exactly and infers the work of other nodes from the engine's load reports, which
// lag behind.
package load

import (
	"math"
	"time"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

const (
	historySize    = 64
	sampleInterval = 100 * time.Millisecond
	// ageTolerance is the tolerance for the age that a report states.
	ageTolerance = 300 * time.Millisecond
	// foreignDecay is the time constant with which reported work of others decays.
	foreignDecay = 2 * time.Second
	// The prefill time for each token starts at defaultTokenTime and is a moving
	// average with weight tokenTimeGain. Only prompts of minSampleTokens or more
	// count, and the average stays within maxTokenTimeFactor of its start.
	defaultTokenTime   = 50 * time.Microsecond
	minSampleTokens    = 1000
	tokenTimeGain      = 0.1
	maxTokenTimeFactor = 8
	// The limit on calls starts at unlimitedCalls, falls to the calls in flight on
	// a busy answer, and grows by one call in each limitRecovery.
	unlimitedCalls = 1 << 20
	limitRecovery  = 2 * time.Second
	// A report of waiting calls lowers the limit only if at least minBatchCalls run.
	// A report without waiting calls raises it by 1/limitGrowthDivisor.
	minBatchCalls      = 8
	limitGrowthDivisor = 8
)

// Engine estimates the load of one engine. See [New].
type Engine struct {
	prefill, calls int
	history        [historySize]sample
	next           int
	sampledAt      time.Time
	foreign        sample
	// peersReport is true once other nodes have reported their work directly, which
	// then replaces what load reports imply.
	peersReport   bool
	baseTokenTime float64
	tokenTime     float64
	limit         int
	limitedAt     time.Time
}

type sample struct {
	at             time.Time
	prefill, calls int
}

// New returns the estimate for an idle engine. The capacity is its speed relative
// to that of other engines.
//
//	e := load.New(1)
//	e.Start(now, 400)
//	wait := e.Wait(now)
func New(capacity float64) *Engine {
	base := defaultTokenTime.Seconds() / capacity
	return &Engine{baseTokenTime: base, tokenTime: base, limit: unlimitedCalls}
}

// Start adds a call with a number of uncached prompt tokens.
func (e *Engine) Start(now time.Time, tokens int) {
	e.prefill += tokens
	e.calls++
	e.record(now)
}

// Adjust changes the prompt tokens of a started call by a difference.
func (e *Engine) Adjust(now time.Time, tokens int) {
	e.prefill += tokens
	e.record(now)
}

// FirstToken removes the prompt tokens of a call at its first token.
func (e *Engine) FirstToken(now time.Time, tokens int) {
	e.prefill -= tokens
	e.record(now)
}

// End removes a call.
func (e *Engine) End(now time.Time) {
	e.calls--
	e.record(now)
}

// Prefill returns the engine's prefill backlog in prompt tokens.
func (e *Engine) Prefill(now time.Time) int { return e.prefill + e.decayed(now, e.foreign.prefill) }

// Calls returns the number of calls at the engine, from this node and others.
func (e *Engine) Calls(now time.Time) int { return e.calls + e.decayed(now, e.foreign.calls) }

// OwnCalls returns the number of this node's calls at the engine.
func (e *Engine) OwnCalls() int { return e.calls }

// OwnPrefill returns this node's part of the prefill backlog.
func (e *Engine) OwnPrefill() int { return e.prefill }

// SetPeerLoad sets the work that other nodes report to have at the engine.
func (e *Engine) SetPeerLoad(now time.Time, prefill, calls int) {
	e.foreign = sample{at: now, prefill: prefill, calls: calls}
	e.peersReport = true
}

// TokenTime returns the time to compute one prompt token, in seconds.
func (e *Engine) TokenTime() float64 { return e.tokenTime }

// Wait returns the time to work off the prefill backlog.
func (e *Engine) Wait(now time.Time) time.Duration {
	return time.Duration(float64(e.Prefill(now)) * e.tokenTime * float64(time.Second))
}

// Full reports whether the calls at the engine have reached its limit plus extra.
func (e *Engine) Full(now time.Time, extra int) bool {
	for e.limit < unlimitedCalls && now.Sub(e.limitedAt) >= limitRecovery {
		e.limit++
		e.limitedAt = e.limitedAt.Add(limitRecovery)
	}
	return e.Calls(now) >= e.limit+extra
}

// LowerLimit lowers the limit to this node's calls after a busy answer.
func (e *Engine) LowerLimit(now time.Time) {
	e.limit = max(1, min(e.limit, e.calls))
	e.limitedAt = now
}

// ObservePrefill updates the prefill time for each token by a measured prefill.
func (e *Engine) ObservePrefill(tokens int, took time.Duration) {
	if tokens < minSampleTokens {
		return
	}
	measured := took.Seconds() / float64(tokens)
	measured = math.Max(e.baseTokenTime/maxTokenTimeFactor, math.Min(e.baseTokenTime*maxTokenTimeFactor, measured))
	e.tokenTime += tokenTimeGain * (measured - e.tokenTime)
}

// Report applies an engine's load report. Work in it beyond this node's own at
// the time of the report is attributed to others.
func (e *Engine) Report(now time.Time, report engine.LoadReport) {
	at := now.Add(-report.Age)
	own := e.ownAround(at)
	e.updateLimit(now, report)
	if e.peersReport {
		return
	}
	e.foreign = sample{
		at:      now,
		prefill: max(0, report.PrefillTokens-own.prefill),
		calls:   max(0, report.Running+report.Waiting-own.calls),
	}
}

// updateLimit limits the calls to the engine's batch size while calls wait at the
// engine, where they can no longer be reordered.
func (e *Engine) updateLimit(now time.Time, report engine.LoadReport) {
	switch {
	case report.Waiting > 0 && report.Running >= minBatchCalls:
		e.limit, e.limitedAt = min(e.limit, report.Running+1), now
	case report.Waiting == 0 && e.limit < unlimitedCalls:
		e.limit += max(1, e.limit/limitGrowthDivisor)
	}
}

// Reset clears all work, as after a restart of the engine, and keeps the measured
// prefill time.
func (e *Engine) Reset() {
	*e = Engine{baseTokenTime: e.baseTokenTime, tokenTime: e.tokenTime, limit: unlimitedCalls}
}

func (e *Engine) decayed(now time.Time, amount int) int {
	if amount == 0 {
		return 0
	}
	return int(float64(amount) * math.Exp(-now.Sub(e.foreign.at).Seconds()/foreignDecay.Seconds()))
}

// record stores this node's work in the history, the maximum of each interval.
func (e *Engine) record(now time.Time) {
	current := sample{at: now, prefill: e.prefill, calls: e.calls}
	last := &e.history[(e.next+historySize-1)%historySize]
	if now.Sub(e.sampledAt) < sampleInterval {
		last.prefill, last.calls = max(last.prefill, e.prefill), max(last.calls, e.calls)
		last.at = now
		return
	}
	e.sampledAt = now
	e.history[e.next] = current
	e.next = (e.next + 1) % historySize
}

// ownAround returns the maximum of this node's work recorded within ageTolerance
// of a time and of the last record up to the end of that span.
func (e *Engine) ownAround(at time.Time) sample {
	var maximum, before sample
	for _, s := range e.history {
		if s.at.After(at.Add(ageTolerance)) {
			continue
		}
		if s.at.After(before.at) {
			before = s
		}
		if s.at.After(at.Add(-ageTolerance)) {
			maximum.prefill, maximum.calls = max(maximum.prefill, s.prefill), max(maximum.calls, s.calls)
		}
	}
	return sample{prefill: max(maximum.prefill, before.prefill), calls: max(maximum.calls, before.calls)}
}
