package budget_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/route/budget"
)

func TestRetriesAreAFractionOfTheRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := budget.New()
		requests, retries := 0, 0
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			for range rapid.IntRange(0, 50).Draw(t, "requests") {
				b.Earn()
				requests++
			}
			for range rapid.IntRange(0, 50).Draw(t, "failures") {
				if b.Spend() {
					retries++
				}
			}
			assert.LessOrEqual(t, float64(retries), 20+0.2*float64(requests)+0.001)
		}
	})
}

func ExampleBudget_Spend() {
	b := budget.New()
	fmt.Println(b.Spend())
	// Output: true
}
