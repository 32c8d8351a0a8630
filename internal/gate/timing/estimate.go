package timing

import "time"

// maxFreeShare is the part of a request's own time up to which known work ahead doesn't
// matter. Averages of reported work are seldom zero.
const maxFreeShare = 0.1

// Estimate is the estimate for one instance. All times include its speed.
type Estimate struct {
	// Base is the time to the first token without waiting and without prefill.
	Base time.Duration
	// PerToken is the prefill time per prompt token.
	PerToken time.Duration
	// Speed is how many times longer the instance takes than is usual for its service;
	// below one for a fast one.
	Speed float64
	// AheadShare is the share of the work that is known to be ahead of a request that it
	// waits for: some of that work has been done since it was reported.
	AheadShare float64
	// Hidden is the time that requests wait for work that is not known.
	Hidden time.Duration
}

// Wait returns the time to process the given number of prompt tokens that are known to
// be ahead.
func (e Estimate) Wait(ahead int) time.Duration {
	return time.Duration(float64(e.PerToken) * float64(ahead) * e.AheadShare)
}

// Prefill returns the time to process a request's own tokens.
func (e Estimate) Prefill(tokens int) time.Duration { return e.PerToken * time.Duration(tokens) }

// Expected returns the time to the first token of a request with the given tokens ahead
// and of its own.
func (e Estimate) Expected(ahead, own int) time.Duration {
	return e.Base + e.Hidden + e.Wait(ahead) + e.Prefill(own)
}

// free reports whether a request has no known work ahead that matters.
func (e Estimate) free(ahead, own int) bool {
	return e.PerToken*time.Duration(ahead) <= scale(e.Base+e.Prefill(own), maxFreeShare)
}

// longest returns the time to the first token if the request waits for all work that is
// known to be ahead.
func (e Estimate) longest(ahead, own int) time.Duration {
	e.AheadShare = max(e.AheadShare, 1)
	return e.Expected(ahead, own)
}

// scaled returns the estimate for an engine that takes factor times as long.
func (e Estimate) scaled(factor float64) Estimate {
	e.Base, e.PerToken, e.Hidden = scale(e.Base, factor), scale(e.PerToken, factor), scale(e.Hidden, factor)
	return e
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
