package timing

import (
	"math"
	"slices"
	"time"
)

const (
	// settledRatios is the number of answers from which the speed of an instance is
	// known.
	settledRatios = 8
	// priorRatios is the weight of the assumption that an instance is as fast as the
	// model, as a number of answers.
	priorRatios = 2
	// minGain is the weight of one answer in a speed that is known: a lasting change is
	// followed within 16 answers, some seconds.
	minGain = 0.06
	// degradedGain is that weight while the instance is degraded, so that it isn't taken
	// for its usual speed soon.
	degradedGain = 0.015
	// maxStep bounds the deviation of one answer from the speed, as a logarithm.
	maxStep = 0.3
	// speedQuantile is the quantile of the answers that counts as the speed: noise and
	// waiting make some answers several times later, but none much earlier.
	speedQuantile = 0.3
	// slowRatio is the deviation, as a logarithm, from which an answer counts as slow:
	// twice the usual time.
	slowRatio = 0.69
	// degradedSpan is for how long all answers must have been slow until the instance is
	// taken as degraded. It is longer than noise lasts (0.6 s).
	degradedSpan  = 800 * time.Millisecond
	degradedCount = 3
	// slowSpan is for how long until it is reported.
	slowSpan  = 2 * time.Second
	slowCount = 6
	// slowClean is the least number of answers without known work ahead among them. Others
	// alone may be slow because of work that was not known.
	slowClean = 3
	// maxDegradation bounds the factor of a degraded instance.
	maxDegradation = 8
	// evidenceAge is how long the last slow answer counts in full; after that the
	// degradation decays with decayTime, because a degraded target may get no work.
	evidenceAge = time.Second
	decayTime   = 2 * time.Second
	// runAge is the time without answers after which a row of slow answers is forgotten.
	runAge = 6 * time.Second
)

// instance is what is known of one instance.
type instance struct {
	id      Instance
	key     uint32
	service *service
	// usual is the logarithm of its usual speed, learned from count answers.
	usual float64
	count int
	// first are the first answers, until the speed is known.
	first []float64
	// run is the present row of slow answers.
	run slowRun
}

// slowRun is a row of slow answers.
type slowRun struct {
	first, last time.Time
	// count is the number of answers, clean that of those without known work ahead.
	count, clean int
	// sum is the sum of the logarithms of their ratios to the model.
	sum float64
}

// add adds answers.
func (i *instance) add(now time.Time, r Ratios) {
	if i.run.count > 0 && now.Sub(i.run.last) > runAge {
		i.run = slowRun{}
	}
	if i.count >= settledRatios {
		if float64(r.Percent)/100-i.usual > slowRatio {
			if i.run.count == 0 {
				i.run.first = now
			}
			i.run.last = now
			i.run.count += r.Count
			i.run.clean += r.Clean
			i.run.sum += float64(r.Percent) / 100 * float64(r.Count)
		} else {
			i.run = slowRun{}
		}
	}
	if r.Clean > 0 {
		i.learn(now, float64(r.CleanPercent)/100, r.Clean)
	}
}

// takeOver takes the speed that another node sent, if less is known.
func (i *instance) takeOver(speeds map[uint32]float64) {
	if usual, ok := speeds[i.key]; ok && i.count < settledRatios {
		i.usual, i.count, i.first = usual, settledRatios, nil
	}
}

// learn adds answers without known work ahead to the usual speed.
func (i *instance) learn(now time.Time, ratio float64, count int) {
	switch {
	case i.count < settledRatios:
		i.learnFirst(ratio, count)
	case i.degraded(now):
		i.follow(ratio-i.usual, degradedGain, count)
	default:
		i.follow(ratio-i.usual, minGain, count)
	}
	i.count = min(i.count+count, settledRatios)
}

// learnFirst takes the speed from the low quantile of the first answers and of the
// assumption that the speed is usual.
func (i *instance) learnFirst(ratio float64, count int) {
	for range min(count, settledRatios-len(i.first)) {
		i.first = append(i.first, ratio)
	}
	n := float64(len(i.first))
	i.usual = quantile(slices.Clone(i.first), speedQuantile) * n / (n + priorRatios*(1-n/settledRatios))
	if len(i.first) == settledRatios {
		i.first = nil
	}
}

// follow moves the usual speed towards answers, so that speedQuantile of them are below it.
func (i *instance) follow(deviation, gain float64, count int) {
	if deviation > 0 {
		gain *= 2 * speedQuantile
	} else {
		gain *= 2 * (1 - speedQuantile)
	}
	i.usual += (1 - math.Pow(1-gain, float64(count))) * max(-maxStep, min(deviation, maxStep))
}

// degraded reports whether the instance is slower than it usually is for longer than
// noise lasts.
func (i *instance) degraded(now time.Time) bool {
	return i.run.count >= degradedCount && i.run.last.Sub(i.run.first) >= degradedSpan && now.Sub(i.run.last) <= runAge
}

// slow reports whether that has lasted.
func (i *instance) slow(now time.Time) bool {
	return i.degraded(now) && i.run.count >= slowCount && i.run.clean >= slowClean && i.run.last.Sub(i.run.first) >= slowSpan
}

// factor returns how many times longer than the model the instance takes now.
func (i *instance) factor(now time.Time) float64 {
	factor := math.Exp(i.usual)
	if !i.degraded(now) {
		return factor
	}
	log := i.run.sum/float64(i.run.count) - i.usual
	if age := now.Sub(i.run.last) - evidenceAge; age > 0 {
		log *= math.Exp(-age.Seconds() / decayTime.Seconds())
	}
	return factor * min(math.Exp(log), maxDegradation)
}
