package timing

import (
	"math"
	"slices"
	"time"
)

const (
	// neutralBase and neutralPerToken are the estimates until answers have been
	// observed: round values of the order of magnitude that engines and plain services
	// have.
	neutralBase     = 50 * time.Millisecond
	neutralPerToken = 20 * time.Microsecond
	// firstSamples is the number of answers that replace the neutral values.
	firstSamples = 10
	// settledSamples is the number of answers that a model is an average of. At the
	// most samples that are taken it forgets half in four seconds.
	settledSamples = 100
	// ringSize is the number of answers kept per service, sampleGap the minimum time
	// between two of them once the ring is full: it holds the last six seconds or more.
	ringSize  = 128
	sampleGap = 50 * time.Millisecond
	// waitGap is likewise for the correction of waiting, which follows the load within
	// two seconds.
	waitGap = 15 * time.Millisecond
	// modelQuantile is the quantile of the answers without known work ahead that counts
	// as the time without waiting. It is below the median, since work that was not known
	// makes some of them late and none early.
	modelQuantile = 0.3
	// minTokenSpread is the least standard deviation of the prompt tokens of the answers
	// from which the time per token is derived.
	minTokenSpread = 200
	// waitQuantile is the quantile of the answers below the estimate of waiting. Some of
	// them wait several times as long and none can wait less than nothing: at 0.6, as many
	// are wrong by more than half in either direction (TestEstimates).
	waitQuantile = 0.6
	// waitAge is how long answers count for the correction of waiting.
	waitAge = 3 * time.Second
	// initialAheadShare is the share of the known work ahead that a request waits for
	// until answers have been observed, and waitPrior the weight of the assumption that
	// this is right and that all work is known, as a number of answers.
	initialAheadShare = 1
	waitPrior         = 4
	maxAheadShare     = 1.5
	// centreGain is the part of the median speed that is moved to the model at each
	// refresh, so that the two don't correct the same deviation twice.
	centreGain  = 0.5
	maxPerToken = 10 * time.Millisecond
	maxBase     = time.Minute
)

// valid reports whether a model that was received or read can be right.
func (m Model) valid() bool {
	return m.Base >= 0 && m.Base <= maxBase && m.PerToken >= 0 && m.PerToken <= maxPerToken && m.Samples > 0
}

// service is what is known of one service.
type service struct {
	model     Model
	instances []*instance
	// medianSpeed is the median of the logarithms of the speeds of its instances. The
	// model is that of an engine of the median speed.
	medianSpeed float64

	clean, waits ring
	// fresh is the number of clean answers since the last fit.
	fresh      int
	aheadShare float64
	hidden     time.Duration
}

type timedSample struct {
	Sample
	at time.Time
}

// ring keeps the last answers.
type ring struct {
	all  []timedSample
	next int
}

func (r *ring) add(s timedSample, gap time.Duration) bool {
	if len(r.all) < ringSize {
		r.all = append(r.all, s)
		return true
	}
	last := r.all[(r.next+ringSize-1)%ringSize]
	if s.at.Sub(last.at) < gap {
		return false
	}
	r.all[r.next] = s
	r.next = (r.next + 1) % ringSize
	return true
}

func newService() *service {
	return &service{model: Model{Base: neutralBase, PerToken: neutralPerToken}, aheadShare: initialAheadShare}
}

// learned reports whether the model was learned rather than assumed.
func (s *service) learned() bool { return s.model.Samples >= firstSamples }

// estimate returns the estimate for an instance with a speed of one.
func (s *service) estimate() Estimate {
	return Estimate{Base: s.model.Base, PerToken: s.model.PerToken, Speed: 1, AheadShare: s.aheadShare, Hidden: s.hidden}
}

func (s *service) add(now time.Time, sample Sample) {
	timed := timedSample{sample, now}
	s.waits.add(timed, waitGap)
	if s.estimate().free(sample.Ahead, sample.Own) && s.clean.add(timed, sampleGap) {
		s.fresh++
	}
	if !s.learned() && len(s.clean.all) >= firstSamples {
		s.fit()
	}
}

func (s *service) refresh(now time.Time) {
	if s.learned() || len(s.clean.all) >= firstSamples {
		s.fit()
	}
	s.fitWaiting(now)
	// Instances of which nothing is known count as usual: the few that are known may all
	// be slow ones.
	speeds := make([]float64, 0, len(s.instances))
	for _, i := range s.instances {
		speeds = append(speeds, i.usual)
	}
	median := quantile(speeds, 0.5)
	s.shift(centreGain * median)
	s.medianSpeed = (1 - centreGain) * median
}

// shift moves what all instances have in common from their speeds to the model. The
// estimates stay the same.
func (s *service) shift(by float64) {
	if by == 0 || !s.learned() {
		return
	}
	s.model.Base, s.model.PerToken = min(scale(s.model.Base, math.Exp(by)), maxBase), min(scale(s.model.PerToken, math.Exp(by)), maxPerToken)
	for _, i := range s.instances {
		if i.count >= settledRatios {
			i.usual -= by
		}
	}
}

// fit moves the model towards the answers without work ahead.
func (s *service) fit() {
	if s.fresh == 0 || len(s.clean.all) < firstSamples {
		return
	}
	points := make([]point, 0, len(s.clean.all))
	for _, a := range s.clean.all {
		expected := micros(s.model.Base) + micros(s.model.PerToken)*float64(a.Own)
		points = append(points, point{x: float64(a.Own), y: float64(a.Micros), weight: 1 / max(expected, 1)})
	}
	line := fitLine(points, line{base: micros(s.model.Base), slope: micros(s.model.PerToken)}, modelQuantile, minTokenSpread)
	base, perToken := max(0, min(duration(line.base), maxBase)), min(duration(line.slope), maxPerToken)
	weight := 1.0
	if s.learned() {
		weight = min(1, float64(s.fresh)/float64(s.model.Samples))
	}
	s.model.Base += scale(base-s.model.Base, weight)
	s.model.PerToken += scale(perToken-s.model.PerToken, weight)
	s.model.Samples = min(s.model.Samples+s.fresh, settledSamples)
	s.fresh = 0
}

// fitWaiting derives how much of the known work ahead requests wait for, and how long
// they wait for work that is not known.
func (s *service) fitWaiting(now time.Time) {
	perToken, base := micros(s.model.PerToken), micros(s.model.Base)
	points := make([]point, 0, len(s.waits.all)+2)
	longest, total := 0.0, 0.0
	for _, a := range s.waits.all {
		if now.Sub(a.at) > waitAge {
			continue
		}
		own := base + perToken*float64(a.Own)
		p := point{x: perToken * float64(a.Ahead), y: float64(a.Micros) - own}
		p.weight = 1 / max(own+p.x, 1)
		longest, total = max(longest, p.x), total+p.weight
		points = append(points, p)
	}
	s.hidden, s.aheadShare = 0, initialAheadShare
	if len(points) == 0 {
		return
	}
	prior := waitPrior * total / float64(len(points))
	points = append(points, point{weight: prior}, point{x: longest, y: initialAheadShare * longest, weight: prior})
	line := fitLine(points, line{slope: initialAheadShare}, waitQuantile, 1)
	s.hidden = max(0, min(duration(line.base), maxBase))
	s.aheadShare = min(line.slope, maxAheadShare)
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func duration(micros float64) time.Duration {
	return time.Duration(micros * float64(time.Microsecond))
}

// quantile returns a quantile of values, which it sorts; zero without any.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
