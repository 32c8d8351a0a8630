package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/safety/poison"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func request(digest uint64, parts ...uint64) poison.Request {
	return poison.Request{Digest: digest, Parts: parts}
}

// crash breaks the connection of a request; the crash of its target is detected
// after the given delay.
func crash(s *poison.Counter, now time.Time, broken poison.Request, target string, died time.Duration) {
	s.ConnectionBroke(now, broken, target, true)
	s.TargetCrashed(now.Add(died), target)
}

// crashEverySecond crashes several targets, one a second.
func crashEverySecond(s *poison.Counter, targets int, broken poison.Request, died time.Duration) {
	for i := range targets {
		crash(s, at(float64(i)), broken, fmt.Sprint("t", i), died)
	}
}

// crashAll breaks several requests on a target that crashes.
func crashAll(s *poison.Counter, now time.Time, target string, broken ...poison.Request) {
	for _, b := range broken {
		s.ConnectionBroke(now, b, target, true)
	}
	s.TargetCrashed(now.Add(50*time.Millisecond), target)
}

func refused(s *poison.Counter, now time.Time, r poison.Request) bool {
	_, blocked := s.Refused(now, r)
	return blocked
}

// blockedFeatures returns the blocked features, digests as negative numbers.
func blockedFeatures(s *poison.Counter, now time.Time) []int {
	features := []int{}
	for _, b := range s.Blocked(now) {
		if b.Whole {
			features = append(features, -int(b.Feature))
			continue
		}
		features = append(features, int(b.Feature))
	}
	return features
}

func TestRefused(t *testing.T) {
	seven := request(7)
	tests := map[string]struct {
		play func(s *poison.Counter)
		want bool
	}{
		"three crashed targets": {func(s *poison.Counter) {
			crashEverySecond(s, 3, seven, time.Second)
		}, true},
		"two crashed targets": {func(s *poison.Counter) {
			crashEverySecond(s, 2, seven, time.Second)
		}, true},
		"one crashed target": {func(s *poison.Counter) {
			crash(s, start, seven, "t", time.Second)
		}, false},
		"one target crashed three times": {func(s *poison.Counter) {
			for i := range 3 {
				crash(s, at(float64(i)), seven, "t", 100*time.Millisecond)
			}
		}, true},
		"two targets crashed at once": {func(s *poison.Counter) {
			crash(s, start, seven, "a", time.Second)
			crash(s, start, seven, "b", time.Second)
		}, false},
		"nine targets crashed within the gap": {func(s *poison.Counter) {
			for i := range 9 {
				crash(s, at(0.04*float64(i)), seven, fmt.Sprint("t", i), time.Second)
			}
		}, false},
		"connections broke without a crash": {func(s *poison.Counter) {
			for i := range 5 {
				s.ConnectionBroke(at(float64(i)), seven, fmt.Sprint("t", i), true)
			}
		}, false},
		"targets crashed much later": {func(s *poison.Counter) {
			crashEverySecond(s, 3, seven, 20*time.Second)
		}, false},
		"answered before the crash": {func(s *poison.Counter) {
			s.Answered(at(-1), at(-2), seven)
			for i := range 5 {
				crash(s, start, seven, fmt.Sprint("t", i), time.Second)
			}
		}, false},
		"answered before several crashes": {func(s *poison.Counter) {
			s.Answered(at(-1), at(-2), seven)
			crashEverySecond(s, 3, seven, time.Second)
		}, true},
		"answered between the crashes": {func(s *poison.Counter) {
			crashEverySecond(s, 2, seven, 500*time.Millisecond)
			s.Answered(at(3), at(2), seven)
			crash(s, at(4), seven, "u", time.Second)
		}, false},
		"answered after the last crash": {func(s *poison.Counter) {
			crashEverySecond(s, 5, seven, 500*time.Millisecond)
			s.Answered(at(8), at(6), seven)
		}, false},
		"answered after a break whose crash is detected later": {func(s *poison.Counter) {
			for i := range 3 {
				s.ConnectionBroke(at(float64(i)), seven, fmt.Sprint("t", i), true)
			}
			s.Answered(at(4), at(3), seven)
			for i := range 3 {
				s.TargetCrashed(at(5), fmt.Sprint("t", i))
			}
		}, false},
		// Guards against clearing crashes by a run that was under way already.
		"a run answered that began before the crashes": {func(s *poison.Counter) {
			crashEverySecond(s, 2, seven, time.Second)
			s.Answered(at(4), at(-1), seven)
		}, true},
		// Guards against counting one crash twice, by a probe and by the list of targets.
		"one crash detected several times": {func(s *poison.Counter) {
			s.ConnectionBroke(start, seven, "t", true)
			s.TargetCrashed(at(0.1), "t")
			s.ConnectionBroke(at(0.2), seven, "t", false)
			s.TargetCrashed(at(3), "t")
			s.TargetCrashed(at(4), "t")
		}, false},
		"crashes of other requests": {func(s *poison.Counter) {
			for i := range 3 {
				s.ConnectionBroke(at(float64(i)), request(uint64(100+i)), fmt.Sprint("t", i), true)
				crash(s, at(float64(i)), request(8), fmt.Sprint("t", i), time.Second)
			}
		}, false},
		"parts with the same number": {func(s *poison.Counter) {
			for i := range 3 {
				crash(s, at(float64(i)), request(uint64(100+i), 7), fmt.Sprint("t", i), time.Second)
			}
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := poison.New()
			test.play(s)
			assert.Equal(t, test.want, refused(s, at(10), seven))
		})
	}
}

func TestCrashesExpire(t *testing.T) {
	s := poison.New()
	for i := range 3 {
		crash(s, at(float64(i)), request(7, 8), fmt.Sprint("t", i), time.Second)
	}
	assert.True(t, refused(s, at(5*60+1.9), request(7)))
	assert.False(t, refused(s, at(5*60+2), request(7)))
	assert.Empty(t, s.Crashes(at(6*60)))
}

// Guards against a block that ends with its first crash although the last one is
// recent.
func TestBlockLastsUntilItsLastCrashExpires(t *testing.T) {
	s := poison.New()
	crash(s, at(0), request(7), "a", time.Second)
	crash(s, at(250), request(7), "b", time.Second)
	assert.True(t, refused(s, at(549), request(7)))
	assert.False(t, refused(s, at(550), request(7)))
	assert.Empty(t, s.Crashes(at(550)))
}

func TestSuspectedUntilExplained(t *testing.T) {
	s := poison.New()
	crashAll(s, at(0), "a", request(1, 100, 666), request(2, 100, 200))
	assert.True(t, s.Suspected(at(1), request(9, 300, 200)), "bystander")
	assert.True(t, s.Suspected(at(1), request(9, 300, 666)), "cause")
	assert.False(t, s.Suspected(at(1), request(9, 300)), "neither")
	crashAll(s, at(2), "b", request(3, 400, 666))
	assert.False(t, s.Suspected(at(3), request(9, 300, 200)), "explained bystander")
	assert.True(t, s.Suspected(at(3), request(9, 300, 666)), "blocked")
}

func TestBlockedStatesCrashesAndTime(t *testing.T) {
	s := poison.New()
	for i := range 4 {
		crash(s, at(float64(i)), request(uint64(i), 666), fmt.Sprint("t", i), 100*time.Millisecond)
	}
	assert.Equal(t, []poison.Block{{Feature: 666, Crashes: 4, Since: at(1)}}, s.Blocked(at(5)))
}
