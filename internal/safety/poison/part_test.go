package poison_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/safety/poison"
)

// victim is the crash of a target with the requests that it had not begun to answer.
type victim struct {
	seconds  float64
	requests []poison.Request
}

func TestPartsBlocked(t *testing.T) {
	tests := map[string]struct {
		crashes []victim
		want    []int
	}{
		"part of two requests": {[]victim{
			{0, []poison.Request{request(1, 100, 666, 201)}},
			{1, []poison.Request{request(2, 101, 666, 202)}},
		}, []int{666}},
		"part of two requests among bystanders with the same first part": {[]victim{
			{0, []poison.Request{request(1, 100, 666), request(2, 100, 200), request(3, 100, 201)}},
			{1, []poison.Request{request(4, 100, 666), request(5, 100, 202), request(6, 100, 203)}},
		}, []int{666}},
		"part of two requests among bystanders with the same first and second part": {[]victim{
			{0, []poison.Request{request(1, 100, 200, 666), request(2, 100, 200), request(3, 100, 200, 300)}},
			{1, []poison.Request{request(4, 100, 200, 666), request(5, 100, 200), request(6, 100, 200, 301)}},
		}, []int{666}},
		"first part": {[]victim{
			{0, []poison.Request{request(1, 666, 200), request(2, 100, 201)}},
			{1, []poison.Request{request(3, 666, 202), request(4, 101, 203)}},
		}, []int{666}},
		// Guards against keeping the block of an inner part when the outer one turns out
		// to be the cause.
		"first part whose first two requests share the second one": {[]victim{
			{0, []poison.Request{request(1, 666, 200)}},
			{1, []poison.Request{request(2, 666, 200)}},
			{2, []poison.Request{request(3, 666, 201)}},
		}, []int{666}},
		"one request alone blocks its digest only": {[]victim{
			{0, []poison.Request{request(1, 100, 200)}},
			{1, []poison.Request{request(1, 100, 200)}},
			{2, []poison.Request{request(1, 100, 200)}},
		}, []int{-1}},
		"part after a repeated request": {[]victim{
			{0, []poison.Request{request(1, 100, 666)}},
			{1, []poison.Request{request(1, 100, 666)}},
			{2, []poison.Request{request(2, 101, 666)}},
		}, []int{666}},
		"two parts in turn": {[]victim{
			{0, []poison.Request{request(1, 100, 666)}},
			{1, []poison.Request{request(2, 101, 666)}},
			{2, []poison.Request{request(3, 100, 667)}},
			{3, []poison.Request{request(4, 101, 667)}},
		}, []int{666, 667}},
		"three parts interleaved among bystanders": {[]victim{
			{0, []poison.Request{request(1, 100, 666), request(11, 104, 210)}},
			{1, []poison.Request{request(2, 101, 667), request(12, 105, 211)}},
			{2, []poison.Request{request(3, 102, 668), request(13, 106, 212)}},
			{3, []poison.Request{request(4, 103, 666), request(14, 107, 213)}},
			{4, []poison.Request{request(5, 108, 667), request(15, 109, 214)}},
			{5, []poison.Request{request(6, 110, 668), request(16, 111, 215)}},
		}, []int{666, 667, 668}},
		"bystander of explained crashes": {[]victim{
			{0, []poison.Request{request(1, 100, 666)}},
			{1, []poison.Request{request(2, 101, 666)}},
			{2, []poison.Request{request(3, 102, 666), request(4, 103, 200)}},
			{3, []poison.Request{request(5, 104, 666), request(6, 105, 200)}},
		}, []int{666}},
		"parts of one crash": {[]victim{
			{0, []poison.Request{request(1, 100, 200), request(2, 100, 200), request(3, 100, 200)}},
		}, []int{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := poison.New()
			for i, v := range test.crashes {
				crashAll(s, at(v.seconds), fmt.Sprint("t", i), v.requests...)
			}
			assert.Equal(t, test.want, blockedFeatures(s, at(10)))
		})
	}
}

func TestPartBlockedAtAnyPosition(t *testing.T) {
	for position := range 12 {
		s := poison.New()
		for i := range 2 {
			var parts []uint64
			for j := range 12 {
				parts = append(parts, uint64(1000+100*i+j))
			}
			parts[position] = 666
			crashAll(s, at(float64(i)), fmt.Sprint("t", i), request(uint64(i), parts...))
		}
		assert.Equal(t, []int{666}, blockedFeatures(s, at(3)), "position %d", position)
	}
}

// Guards against taking earlier survivors as a proof for ever.
func TestPartWithEarlierSurvivorsBlocked(t *testing.T) {
	s := poison.New()
	for i := range 50 {
		s.Answered(at(float64(i)-59), at(float64(i)-60), request(uint64(i), 100, 666))
	}
	for i := range 2 {
		crashAll(s, at(float64(i)), fmt.Sprint("t", i), request(uint64(100+i), 100, 666), request(uint64(110+i), 100))
		s.Answered(at(float64(i)+0.5), at(float64(i)+0.1), request(uint64(120+i), 100))
	}
	assert.Equal(t, []int{666}, blockedFeatures(s, at(3)))
}

func TestPartWithoutSurvivorsBlockedBeforeOneWith(t *testing.T) {
	s := poison.New()
	s.Answered(at(-1), at(-2), request(50, 100, 200))
	for i := range 2 {
		crashAll(s, at(float64(i)), fmt.Sprint("t", i), request(uint64(i), 666, 100, 200))
	}
	assert.Equal(t, []int{666}, blockedFeatures(s, at(3)))
}

// Guards against blocking everybody's parts when a third of the targets fails together.
func TestPopularPartsNeverBlockedByCommonFailures(t *testing.T) {
	s := poison.New()
	digest := uint64(0)
	next := func(i int) poison.Request {
		digest++
		return request(digest, uint64(100+i%4), uint64(200+i%8))
	}
	for wave := range 3 {
		seconds := 3.5 * float64(wave)
		for target := range 3 {
			var broken []poison.Request
			for i := range 8 {
				broken = append(broken, next(i))
			}
			crashAll(s, at(seconds+0.002*float64(target)), fmt.Sprint("t", target), broken...)
			assert.Empty(t, s.Blocked(at(seconds+0.2)), "wave %d", wave)
		}
		for i := range 8 {
			s.Answered(at(seconds+1+0.1*float64(i)), at(seconds+0.1+0.1*float64(i)), next(i))
			assert.Empty(t, s.Blocked(at(seconds+1+0.1*float64(i))), "wave %d", wave)
		}
		assert.False(t, s.Suspected(at(seconds+2), next(0)), "wave %d", wave)
	}
}

func TestPartOfBegunRequestsBlockedFirst(t *testing.T) {
	s := poison.New()
	for i := range 2 {
		target := fmt.Sprint("t", i)
		s.ConnectionBroke(at(float64(i)), request(uint64(i), 666), target, true)
		s.ConnectionBroke(at(float64(i)), request(uint64(10+i), 100, 200), target, false)
		s.TargetCrashed(at(float64(i)+0.1), target)
	}
	assert.Equal(t, []int{666}, blockedFeatures(s, at(3)))
}
