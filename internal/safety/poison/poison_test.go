package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/safety/poison"
)

var start = time.Unix(1000, 0)

// crash breaks the connection of a request; the crash of its target is detected
// after the given delay.
func crash(s *poison.Counter, now time.Time, request uint64, target string, died time.Duration) {
	s.ConnectionBroke(now, request, target)
	s.TargetCrashed(now.Add(died), target)
}

func TestRefused(t *testing.T) {
	tests := map[string]struct {
		play func(s *poison.Counter)
		want bool
	}{
		"three crashed targets": {func(s *poison.Counter) {
			for i := range 3 {
				crash(s, start.Add(time.Duration(i)*time.Second), 7, fmt.Sprint("t", i), time.Second)
			}
		}, true},
		"one target crashed three times": {func(s *poison.Counter) {
			for i := range 3 {
				crash(s, start.Add(time.Duration(i)*time.Second), 7, "t", 100*time.Millisecond)
			}
		}, true},
		"two crashed targets": {func(s *poison.Counter) {
			crash(s, start, 7, "a", time.Second)
			crash(s, start, 7, "b", time.Second)
		}, false},
		"connections broke without a crash": {func(s *poison.Counter) {
			for i := range 5 {
				s.ConnectionBroke(start, 7, fmt.Sprint("t", i))
			}
		}, false},
		"targets crashed much later": {func(s *poison.Counter) {
			for i := range 3 {
				crash(s, start, 7, fmt.Sprint("t", i), 20*time.Second)
			}
		}, false},
		"answered before the crashes": {func(s *poison.Counter) {
			s.Answered(7)
			for i := range 5 {
				crash(s, start, 7, fmt.Sprint("t", i), time.Second)
			}
		}, false},
		"answered between the crashes": {func(s *poison.Counter) {
			for i := range 2 {
				crash(s, start, 7, fmt.Sprint("t", i), time.Second)
			}
			s.Answered(7)
			for i := range 2 {
				crash(s, start, 7, fmt.Sprint("u", i), time.Second)
			}
		}, false},
		"crashes of other requests": {func(s *poison.Counter) {
			for i := range 3 {
				s.ConnectionBroke(start, uint64(100+i), fmt.Sprint("t", i))
				crash(s, start, 8, fmt.Sprint("t", i), time.Second)
			}
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := poison.New()
			test.play(s)
			assert.Equal(t, test.want, s.Refused(start.Add(10*time.Second), 7))
		})
	}
}

func TestEntriesReachOtherNodes(t *testing.T) {
	nodes := []*poison.Counter{poison.New(), poison.New(), poison.New()}
	for i, s := range nodes {
		crash(s, start.Add(time.Duration(i)*2*time.Second), 7, fmt.Sprint("t", i), time.Second)
	}
	now := start.Add(8 * time.Second)
	for range 2 {
		for _, from := range nodes {
			for _, to := range nodes {
				to.Merge(now, from.Entries(now))
			}
		}
	}
	for _, s := range nodes {
		assert.True(t, s.Refused(now, 7))
		assert.Len(t, s.Entries(now), 3, "a crash counts once")
	}
}

func TestCrashesExpire(t *testing.T) {
	s := poison.New()
	for i := range 3 {
		crash(s, start, 7, fmt.Sprint("t", i), time.Second)
	}
	assert.False(t, s.Refused(start.Add(6*time.Minute), 7))
	assert.Empty(t, s.Entries(start.Add(6*time.Minute)))
}
