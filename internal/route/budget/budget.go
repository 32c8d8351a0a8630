// Package budget limits retries and hedges to a fraction of the requests, so that
// failures do not multiply the load.
package budget

const (
	// retriesPerRequest is the number of retries that each request adds.
	retriesPerRequest = 0.2
	// maxRetries is the maximum number of retries that can accumulate.
	maxRetries = 20.0
)

// Budget holds the retries that are left. See [New].
type Budget struct{ left float64 }

// New returns a full budget.
//
//	b := budget.New()
//	b.Earn()
//	if b.Spend() {
//		retry()
//	}
func New() *Budget { return &Budget{left: maxRetries} }

// Earn adds the retries that a first attempt allows.
func (b *Budget) Earn() { b.left = min(maxRetries, b.left+retriesPerRequest) }

// Spend takes one retry and reports whether the budget had one.
func (b *Budget) Spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
