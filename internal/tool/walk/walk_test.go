package walk_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/tool/walk"
)

// jugs is the water-jug puzzle: measure four litres with jugs of three and five
// litres.
type jugs struct{ three, five int }

func (j jugs) next() []jugs {
	toFive := min(j.three, 5-j.five)
	toThree := min(j.five, 3-j.three)
	return []jugs{
		{3, j.five}, {j.three, 5}, {0, j.five}, {j.three, 0},
		{j.three - toFive, j.five + toFive}, {j.three + toThree, j.five - toThree},
	}
}

func ExampleAll() {
	report, err := walk.All(jugs{}, jugs.next, func(jugs) error { return nil })
	fmt.Println(report.States, err)
	// Output: 16 <nil>
}

func TestAllStopsAtAViolation(t *testing.T) {
	four := errors.New("four litres")
	_, err := walk.All(jugs{}, jugs.next, func(j jugs) error {
		if j.five == 4 {
			return four
		}
		return nil
	})
	var broken *walk.InvariantError
	require.ErrorAs(t, err, &broken)
	assert.Equal(t, 6, broken.Depth)
	assert.ErrorIs(t, err, four)
}
