package pick

import (
	"math"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/timing"
	"github.com/cicadamill/cicadamill/internal/route/place"
)

const (
	// backlogTime is the time constant of the average of the prompt tokens that wait at
	// an engine. It spans several streams of a second or two, whose pauses depend on the
	// prompts that arrive while they run.
	backlogTime = 2 * time.Second
	// safePauseShare is the part of the longest pause that prefill may take without any
	// risk: the rest is for the tokens of the stream itself and for errors of estimation.
	safePauseShare = 0.5
	// backlogPeak is how many times its average the work that waits at an engine reaches
	// for a moment.
	backlogPeak = 4
	// slowRisk is the risk of a late pause at an engine that takes twice the usual time: its
	// streams last twice as long, and each of their pauses is twice as long.
	slowRisk = 0.5
	// delayedStreams bounds the number of streams that one prompt is charged for.
	delayedStreams = 4
	// longPromptShare is the share of the longest pause from which on the prefill of a
	// prompt counts as long.
	longPromptShare = 0.25
	// minOwnerWeight is the least weight of an engine as owner of parts of long prompts.
	minOwnerWeight = 0.05
)

// SampleLoad adds the present load to the averages over time. It must be called at
// regular intervals.
func (s *Picker) SampleLoad(now time.Time) {
	for _, t := range s.targets {
		if t.engines == nil {
			continue
		}
		load, _ := t.load(now)
		weight := 1 - math.Exp(-now.Sub(t.backlogAt).Seconds()/backlogTime.Seconds())
		t.backlog += (float64(load.Prefill) - t.backlog) * weight
		t.backlogAt = now
	}
}

// isLong reports whether the prefill of a prompt delays the streams at an engine of usual
// speed noticeably.
func isLong(r Request, e timing.Estimate) bool {
	return r.LongestPause > 0 && float64(e.Prefill(r.Prompt.Tokens)) > longPromptShare*e.Speed*float64(r.LongestPause)
}

// ownerRank returns an engine with its weight in the choice of the owner of new parts.
// Long prompts have their parts, and so most of their work, at some of the engines: those
// that come first in an order by hash, and that are fast. That leaves the others to
// streams, whose events a long prompt delays. A service with few engines needs all of them
// for both.
func (s *Picker) ownerRank(now time.Time, t *target, r Request) place.Target {
	rank := t.rank
	if r.LongestPause <= 0 || len(s.services[r.Service]) <= sampleThreshold {
		return rank
	}
	if e := s.timing.Estimate(now, r.Service, t.timed()); isLong(r, e) {
		first := 1 - float64(rank.Hash)/math.MaxUint64
		rank.Weight = max(first/e.Speed, minOwnerWeight)
	}
	return rank
}

// pauseCost returns the cost of late pauses between the events of streams: while an
// engine prefills prompts, the streams that it runs get a token only with each chunk of
// a prompt. A prompt pays for the streams that it delays, and a stream for the prompts
// that usually wait at the engine.
func pauseCost(t *target, load Load, r Request, e timing.Estimate, ahead, miss int) float64 {
	if r.LongestPause <= 0 {
		return 0
	}
	share := func(tokens float64) float64 { return tokens * float64(e.PerToken) / float64(r.LongestPause) }
	waiting := max(float64(ahead), t.backlog)
	delayed := pauseRisk(share(waiting+float64(miss))) - pauseRisk(share(waiting))
	cost := lateCost * delayed * float64(min(load.Running, delayedStreams))
	risk := share(backlogPeak*t.backlog)*e.Speed + slowRisk*max(e.Speed-1, 0)
	return cost + lateCost*min(risk, 1)*streamShare(r)
}

// pauseRisk returns the probability that streams are late which are delayed by the given
// share of their longest pause.
func pauseRisk(share float64) float64 {
	return min(max((share-safePauseShare)/(1-safePauseShare), 0), 1)
}

// outputPerPrompt is the work of a prompt token relative to that of an output token.
const outputPerPrompt = 0.02

// streamShare returns which part of a request's work is output, during which its pauses
// count.
func streamShare(r Request) float64 {
	output := float64(r.Prompt.MaxOutput)
	return output / (output + outputPerPrompt*float64(r.Prompt.Tokens))
}
