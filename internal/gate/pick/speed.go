package pick

import "time"

const (
	// firstDelay and tokenTime are the estimates until answers tell: the time to
	// the first token of a short prompt and the time to read one prompt token,
	// as the deployments' sheets give them for their engines.
	firstDelay = 80 * time.Millisecond
	tokenTime  = 13 * time.Microsecond
	// workTime is the estimate for one plain request until answers tell.
	workTime = 50 * time.Millisecond
	// learnWeight is the weight of one answer in an estimate.
	learnWeight = 0.05
	// plainTokens is the largest prompt whose time says nothing of reading.
	plainTokens = 500
)

// speed is how fast the targets of one service are believed to be.
type speed struct {
	first time.Duration
	token time.Duration
	work  time.Duration
}

func (s *State) speed(service string) *speed {
	v, ok := s.speeds[service]
	if !ok {
		v = &speed{first: firstDelay, token: tokenTime, work: workTime}
		s.speeds[service] = v
	}
	return v
}

// learn takes the time to the first token of a prompt of which a number of
// tokens had to be read, those of others before it included.
func (v *speed) learn(tokens int, took time.Duration) {
	if tokens <= plainTokens {
		v.first = blend(v.first, took)
		return
	}
	if rest := took - v.first; rest > 0 {
		v.token = blend(v.token, rest/time.Duration(tokens))
	}
}

func blend(old, sample time.Duration) time.Duration {
	return old + time.Duration(float64(sample-old)*learnWeight)
}
