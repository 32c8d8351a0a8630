package poison_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/safety/poison"
)

// blockedBystander returns two nodes on which part 200 is blocked.
func blockedBystander(t *testing.T) (s, peer *poison.Counter) {
	s, peer = poison.New(), poison.New()
	crashAll(s, at(0), "a", request(1, 100, 666), request(2, 101, 150, 200))
	crashAll(s, at(1), "b", request(3, 102, 667), request(4, 103, 150, 200))
	peer.Merge(at(2), s.Crashes(at(2)), s.Survivals(at(2)))
	assert.Equal(t, []int{200}, blockedFeatures(s, at(2)))
	assert.Equal(t, []int{200}, blockedFeatures(peer, at(2)))
	return s, peer
}

func TestBystanderReleasedBySurvivalElsewhere(t *testing.T) {
	s, peer := blockedBystander(t)
	survivals := peer.Answered(at(4), at(1.5), request(5, 200))
	assert.Equal(t, []poison.Survival{{Feature: 200, Age: at(4).Sub(at(1.5))}}, survivals)
	crashes, passed := s.Merge(at(4), nil, survivals)
	assert.Empty(t, crashes)
	assert.Equal(t, survivals, passed)
	assert.False(t, refused(s, at(4), request(6, 200)))
	assert.False(t, refused(peer, at(4), request(6, 200)))
}

func TestBystanderReleasedByBetterExplanation(t *testing.T) {
	s, _ := blockedBystander(t)
	for i, part := range []uint64{666, 667, 666, 667} {
		crashAll(s, at(3+float64(i)), "c", request(uint64(50+i), uint64(300+i), part))
	}
	assert.Equal(t, []int{666, 667}, blockedFeatures(s, at(8)))
	assert.False(t, s.Suspected(at(8), request(60, 200)))
}

func TestSurvivalsSentOnlyForCrashedFeatures(t *testing.T) {
	s := poison.New()
	assert.Empty(t, s.Answered(at(-1), at(-2), request(1, 100, 200)))
	crashAll(s, at(0), "a", request(2, 100, 201))
	assert.Empty(t, s.Answered(at(2), at(1), request(3, 101, 200)))
	assert.Len(t, s.Answered(at(2), at(1), request(3, 100, 200)), 1, "clears a crash")
	assert.Empty(t, s.Answered(at(3), at(2), request(4, 100, 200)), "cleared already")
}

func TestTrialsOfPartWithSurvivors(t *testing.T) {
	s := poison.New()
	bad := func(digest uint64) poison.Request { return request(digest, 666) }
	s.Answered(at(-9), at(-10), bad(1))
	crashAll(s, at(-1), "a", bad(2))
	crashAll(s, at(0), "b", bad(3))
	assert.False(t, s.Trial(at(1), request(4, 100)), "not blocked")
	now := 0.0
	for i, interval := range []float64{10, 40, 160} {
		assert.False(t, s.Trial(at(now+interval-0.1), bad(5)), "trial %d too early", i)
		now += interval
		assert.True(t, refused(s, at(now), bad(6)))
		assert.True(t, s.Trial(at(now), bad(7)), "trial %d", i)
		assert.False(t, s.Trial(at(now+1), bad(8)), "trial %d under way", i)
		now += 2
		crashAll(s, at(now), "c", bad(uint64(10+i)))
	}
	assert.False(t, s.Trial(at(now+299), bad(20)))
	assert.False(t, refused(s, at(now+300), bad(21)))
}

// Guards against blocking a popular part by two crashes in a row, between which none of
// its requests could be answered.
func TestPartWithSurvivorsBlockedAfterADelay(t *testing.T) {
	tests := map[string]struct {
		answered bool
		want     []int
	}{
		"none of the requests under way survives": {false, []int{100}},
		"a request under way survives":            {true, []int{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := poison.New()
			s.Answered(at(-1), at(-2), request(1, 100))
			crashAll(s, at(0), "a", request(2, 100))
			crashAll(s, at(0.6), "b", request(3, 100))
			assert.Empty(t, s.Blocked(at(1.09)))
			assert.True(t, s.Suspected(at(1.09), request(4, 100)))
			if test.answered {
				s.Answered(at(1.09), at(0.3), request(5, 100))
			}
			assert.Equal(t, test.want, blockedFeatures(s, at(1.1)))
		})
	}
}

// Guards against further trials by a node that did not see the earlier ones.
func TestTrialsBackOffOnEveryNode(t *testing.T) {
	s, peer := poison.New(), poison.New()
	s.Answered(at(-9), at(-10), request(1, 666))
	crashAll(s, at(-1), "a", request(2, 666))
	crashAll(s, at(0), "b", request(3, 666))
	assert.True(t, s.Trial(at(10), request(4, 666)))
	crashAll(s, at(11), "c", request(4, 666))
	peer.Merge(at(12), s.Crashes(at(12)), s.Survivals(at(12)))
	assert.False(t, peer.Trial(at(50), request(5, 666)))
	assert.True(t, peer.Trial(at(51), request(5, 666)))
}

// TestLostTrialIsRepeated guards against sound parts that stay refused, because the one
// request that was sent on trial reached no target.
func TestLostTrialIsRepeated(t *testing.T) {
	s := poison.New()
	s.Answered(at(-9), at(-10), request(1, 200))
	crashAll(s, at(-1), "a", request(2, 200))
	crashAll(s, at(0), "b", request(3, 200))
	assert.True(t, s.Trial(at(10), request(4, 200)))
	assert.False(t, s.Trial(at(19), request(5, 200)), "it may still be under way")
	assert.True(t, s.Trial(at(20), request(6, 200)))
}

func TestTrialSurvivedReleases(t *testing.T) {
	s := poison.New()
	s.Answered(at(-9), at(-10), request(1, 200))
	crashAll(s, at(-1), "a", request(2, 200))
	crashAll(s, at(0), "b", request(3, 200))
	assert.True(t, s.Trial(at(10), request(4, 200)))
	s.Answered(at(12), at(10), request(4, 200))
	assert.Empty(t, s.Blocked(at(12)))
}

func TestNoTrialOfPartWithoutSurvivors(t *testing.T) {
	s := poison.New()
	s.Answered(at(-9), at(-10), request(1, 200))
	for i := range 2 {
		crashAll(s, at(float64(i)), "a", request(uint64(2+i), 666))
		crashAll(s, at(5+float64(i)), "b", request(uint64(4+i), 200))
	}
	assert.Equal(t, []int{200, 666}, blockedFeatures(s, at(7)))
	// The crashes of 666 expire at 301 s, those of 200 at 306 s.
	for seconds := range 301 {
		assert.False(t, s.Trial(at(float64(seconds)), request(9, 666)))
		assert.False(t, s.Trial(at(float64(seconds)), request(9, 200, 666)), "holds 666 too")
	}
	assert.Empty(t, s.Blocked(at(306)))
}

func TestTablesAreBounded(t *testing.T) {
	s := poison.New()
	long := make([]uint64, 5000)
	for i := range 20000 {
		for j := range 8 {
			long[j*600] = uint64(i*8 + j)
		}
		s.ConnectionBroke(at(0), request(uint64(i), long[:1+i%8]...), fmt.Sprint("t", i%5000), true)
	}
	s.ConnectionBroke(at(0), request(1, long...), "", true)
	for i := range 5000 {
		s.TargetCrashed(at(1), fmt.Sprint("t", i))
	}
	assert.LessOrEqual(t, len(s.Crashes(at(1))), 4096)
	for i := range 100000 {
		s.Answered(at(1), at(1), request(uint64(i), uint64(i+500000)))
	}
	assert.LessOrEqual(t, len(s.Survivals(at(1))), 4096+16*4096)
	s.ConnectionBroke(at(100), request(1, long...), "t", true)
	crashes, _ := s.TargetCrashed(at(100), "t")
	assert.Len(t, crashes, 0, "table full until its crashes expire")
	assert.Empty(t, s.Crashes(at(400)))
}
