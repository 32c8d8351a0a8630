package timing

import "math"

// point is an observation for [fitLine].
type point struct{ x, y, weight float64 }

// line is y = base + slope x.
type line struct{ base, slope float64 }

const (
	// lineRounds is the number of rounds of reweighting, after which a line changes by
	// little.
	lineRounds = 8
	// minResidual is the residual from which a point counts by its distance rather than
	// by the square of it, as a part of its value.
	minResidual = 0.01
)

// fitLine returns the line below which a quantile of the points lies, by reweighted least
// squares. A few points that are far off change it little. If the points spread less than
// minSpread in x, it keeps the slope.
func fitLine(points []point, from line, quantile, minSpread float64) line {
	for range lineRounds {
		var n, sx, sy, sxx, sxy float64
		for _, p := range points {
			rest := p.y - from.base - from.slope*p.x
			weight := p.weight * quantile
			if rest < 0 {
				weight = p.weight * (1 - quantile)
			}
			weight /= max(math.Abs(rest), minResidual/p.weight)
			n, sx, sy, sxx, sxy = n+weight, sx+weight*p.x, sy+weight*p.y, sxx+weight*p.x*p.x, sxy+weight*p.x*p.y
		}
		if n <= 0 {
			return from
		}
		if spread := sxx/n - sx/n*sx/n; spread >= minSpread*minSpread {
			from.slope = max(0, (sxy/n-sx/n*sy/n)/spread)
		}
		from.base = (sy - from.slope*sx) / n
	}
	return from
}
