package pick

import "time"

const (
	// initialFirstToken and initialPerToken are the estimates until answers have
	// been observed: the time to the first token of a short prompt and the prefill
	// time per prompt token, as specified for the engines of the deployments.
	initialFirstToken = 80 * time.Millisecond
	initialPerToken   = 13 * time.Microsecond
	// initialRequestTime is the estimate for a plain request until answers have
	// been observed.
	initialRequestTime = 50 * time.Millisecond
	// sampleWeight is the weight of one answer in the moving average.
	sampleWeight = 0.05
	// shortPromptTokens is the largest prompt that is too short to estimate the
	// prefill time per token.
	shortPromptTokens = 500
)

// latencyEstimate is the estimated latency of one service's targets.
type latencyEstimate struct {
	firstToken time.Duration
	perToken   time.Duration
	request    time.Duration
}

func (s *Picker) latency(service string) *latencyEstimate {
	v, ok := s.latencies[service]
	if !ok {
		v = &latencyEstimate{firstToken: initialFirstToken, perToken: initialPerToken, request: initialRequestTime}
		s.latencies[service] = v
	}
	return v
}

// observePrompt adds the time to the first token of a prompt that had the given
// number of tokens to prefill, including those queued before it.
func (v *latencyEstimate) observePrompt(tokens int, took time.Duration) {
	if tokens <= shortPromptTokens {
		v.firstToken = movingAverage(v.firstToken, took)
		return
	}
	if rest := took - v.firstToken; rest > 0 {
		v.perToken = movingAverage(v.perToken, rest/time.Duration(tokens))
	}
}

func movingAverage(old, sample time.Duration) time.Duration {
	return old + time.Duration(float64(sample-old)*sampleWeight)
}
