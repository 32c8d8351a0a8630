// Package budget limits retries and hedges to a part of the requests, so that
// a failure is not answered by a multiple of the load.
package budget

const (
	// part is the number of retries that each request earns.
	part = 0.2
	// burst is the most that can be saved.
	burst = 20.0
)

// Budget counts what is left. See [New].
type Budget struct{ left float64 }

// New returns a budget that is full.
//
//	b := budget.New()
//	b.Earn()
//	if b.Spend() {
//		retry()
//	}
func New() *Budget { return &Budget{left: burst} }

// Earn counts a first attempt.
func (b *Budget) Earn() { b.left = min(burst, b.left+part) }

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
