package budget_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/gate/budget"
)

// endless sends bytes without end.
type endless struct{}

func (endless) Read(data []byte) (int, error) { return len(data), nil }

func ExampleBudget_ReadAll() {
	answers := budget.New(1 << 20)
	body, release, err := answers.ReadAll(strings.NewReader("whole"), budget.Answer, 1<<10)
	defer release()
	fmt.Println(string(body), err)
	// Output: whole <nil>
}

func TestReadAll(t *testing.T) {
	broken := errors.New("reset")
	const total, limit = 2 << 20, 500_000
	tests := map[string]struct {
		in   io.Reader
		want int
		err  any
	}{
		"empty":                {in: strings.NewReader("")},
		"short":                {in: strings.NewReader("abc"), want: 3},
		"one byte a read":      {in: iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 9000))), want: 9000},
		"as long as allowed":   {in: strings.NewReader(strings.Repeat("x", limit)), want: limit},
		"one byte too long":    {in: strings.NewReader(strings.Repeat("x", limit+1)), err: new(*budget.TooLargeError)},
		"without end":          {in: endless{}, err: new(*budget.TooLargeError)},
		"broken off":           {in: io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(broken)), err: &broken},
		"data with the ending": {in: iotest.DataErrReader(strings.NewReader("abcd")), want: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := budget.New(total)
			body, release, err := b.ReadAll(test.in, budget.Answer, limit)
			if test.err != nil {
				require.ErrorAs(t, err, test.err)
			} else {
				require.NoError(t, err)
				assert.Len(t, body, test.want)
			}
			release()
			release()
			assert.Equal(t, total, b.Left())
		})
	}
}

// Pattern: answers without end on every connection. They take no more than there is,
// and short answers are read all the same.
func TestAnswersShareTheBudget(t *testing.T) {
	const total, limit = 2 << 20, 512 << 10
	b := budget.New(total)
	long, release, err := b.ReadAll(strings.NewReader(strings.Repeat("x", limit)), budget.Answer, limit)
	require.NoError(t, err)
	assert.Len(t, long, limit)
	_, releaseEndless, err := b.ReadAll(endless{}, budget.Answer, 4*total)
	var exhausted *budget.ExhaustedError
	require.ErrorAs(t, err, &exhausted)
	_, releaseShort, err := b.ReadAll(strings.NewReader(strings.Repeat("x", 60_000)), budget.Answer, limit)
	require.NoError(t, err, "a short answer needs no budget")
	for _, f := range []func(){releaseEndless, releaseShort, release} {
		f()
	}
	assert.Equal(t, total, b.Left())
}

// Pattern: long bodies take what they may, and answers still find room.
func TestBodiesLeaveRoomForAnswers(t *testing.T) {
	const total = 1 << 20
	b := budget.New(total)
	resize, release := b.Hold(budget.Body)
	require.NoError(t, resize(total*3/4))
	other, releaseOther := b.Hold(budget.Body)
	var exhausted *budget.ExhaustedError
	require.ErrorAs(t, other(8<<10), &exhausted)
	answer, releaseAnswer := b.Hold(budget.Answer)
	require.NoError(t, answer(100<<10))
	require.ErrorAs(t, answer(total/2), &exhausted)
	require.NoError(t, resize(0), "a reservation shrinks")
	require.NoError(t, answer(total/2))
	for _, f := range []func(){release, releaseOther, releaseAnswer, release} {
		f()
	}
	assert.Equal(t, total, b.Left())
}
