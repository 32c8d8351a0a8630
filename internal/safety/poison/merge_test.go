package poison_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/safety/poison"
)

func TestCrashesReachOtherNodes(t *testing.T) {
	nodes := []*poison.Counter{poison.New(), poison.New(), poison.New()}
	for i, s := range nodes {
		crash(s, at(float64(2*i)), request(7, 8), fmt.Sprint("t", i), time.Second)
	}
	now := at(8)
	for range 2 {
		for _, from := range nodes {
			for _, to := range nodes {
				to.Merge(now, from.Crashes(now), from.Survivals(now))
			}
		}
	}
	for _, s := range nodes {
		assert.True(t, refused(s, now, request(7)))
		assert.Len(t, s.Crashes(now), 3, "a crash counts once")
	}
}

// Guards against counting a crash for each node that reports it.
func TestCrashReportedTwiceCountsOnce(t *testing.T) {
	s := poison.New()
	for i := range 2 {
		for j := range 2 {
			report := poison.Crash{
				Request: uint64(10*i + j), Parts: []uint64{666}, Target: "t",
				Age: time.Duration(5+i)*time.Second - time.Duration(j)*450*time.Millisecond,
			}
			crashes, _ := s.Merge(at(10), []poison.Crash{report}, nil)
			assert.Len(t, crashes, 1)
			crashes, _ = s.Merge(at(10.1), []poison.Crash{report}, nil)
			assert.Empty(t, crashes, "reported again later")
		}
		assert.Len(t, s.Blocked(at(11)), i)
	}
}

func TestHeadersReportedLaterReachOtherNodes(t *testing.T) {
	s := poison.New()
	report := poison.Crash{Request: 1, Target: "t", Age: time.Second}
	s.Merge(at(10), []poison.Crash{report}, nil)
	report.Began = true
	crashes, _ := s.Merge(at(10), []poison.Crash{report}, nil)
	assert.Equal(t, []poison.Crash{report}, crashes)
	assert.Equal(t, []poison.Crash{report}, s.Crashes(at(10)))
}

func TestJoiningNodeLearnsEverything(t *testing.T) {
	s, joined := poison.New(), poison.New()
	s.Answered(at(-9), at(-10), request(90, 100, 200))
	s.Answered(at(-9), at(-10), request(91, 101, 201))
	for i := range 2 {
		crashAll(s, at(float64(i)), "t", request(uint64(i), 100, 666), request(uint64(10+i), 100, 200))
		s.Answered(at(float64(i)+0.8), at(float64(i)+0.1), request(uint64(20+i), 100))
	}
	now := at(3)
	joined.Merge(now, s.Crashes(now), s.Survivals(now))
	assert.Equal(t, s.Blocked(now), joined.Blocked(now))
	assert.Equal(t, []int{666}, blockedFeatures(joined, now))
	assert.Equal(t, s.Crashes(now), joined.Crashes(now))
	assert.Equal(t, s.Survivals(now), joined.Survivals(now))
	assert.Contains(t, joined.Survivals(now), poison.Survival{Feature: 201, Age: 13 * time.Second}, "history")
}

// Guards against a node that counts a crash whose survivor only another node knows.
func TestMergeReturnsSurvivalThatClearsACrash(t *testing.T) {
	s := poison.New()
	s.Answered(at(2), at(1), request(7, 100))
	crashes, survivals := s.Merge(at(3), []poison.Crash{{Request: 7, Parts: []uint64{100}, Target: "t", Age: 3 * time.Second}}, nil)
	assert.Empty(t, crashes, "cleared")
	assert.Equal(t, []poison.Survival{{Feature: 7, Whole: true, Age: 2 * time.Second}, {Feature: 100, Age: 2 * time.Second}}, survivals)
	assert.Empty(t, s.Crashes(at(3)))
}

// Guards against survivals that nodes pass on to each other for ever, as each node adds
// the time of transmission.
func TestSurvivalsPassedOnOnce(t *testing.T) {
	a, b := poison.New(), poison.New()
	for _, s := range []*poison.Counter{a, b} {
		crashAll(s, at(0), "t", request(1, 100))
	}
	survivals := a.Answered(at(2), at(1), request(2, 100))
	passed := 0
	for i := 0; len(survivals) > 0 && passed < 10; i++ {
		passed++
		_, survivals = []*poison.Counter{b, a}[i%2].Merge(at(2.1+0.1*float64(i)), nil, survivals)
	}
	assert.Equal(t, 2, passed)
}

func TestMalformedEntriesIgnored(t *testing.T) {
	s := poison.New()
	long := string(make([]byte, 1000))
	var crashes []poison.Crash
	for i := range 4 {
		for _, age := range []time.Duration{-1, -time.Hour, math.MinInt64, math.MaxInt64, 10 * time.Minute} {
			crashes = append(crashes, poison.Crash{Request: 7, Target: fmt.Sprint("t", i), Age: age})
		}
		age := time.Duration(i) * time.Second
		crashes = append(crashes, poison.Crash{Request: 7, Age: age}, poison.Crash{Request: 7, Target: long, Age: age})
	}
	survivals := []poison.Survival{{Feature: 8, Age: -time.Hour}, {Feature: 8, Age: math.MinInt64}, {Feature: 8, Age: math.MaxInt64}}
	newCrashes, newSurvivals := s.Merge(at(0), crashes, survivals)
	assert.Empty(t, newCrashes)
	assert.Empty(t, newSurvivals)
	assert.Empty(t, s.Crashes(at(0)))
	assert.Empty(t, s.Survivals(at(0)))
	assert.Empty(t, s.Blocked(at(0)))

	parts := make([]uint64, 100000)
	for i := range parts {
		parts[i] = uint64(i)
	}
	s.Merge(at(0), []poison.Crash{{Request: 9, Parts: parts, Target: "t"}}, nil)
	assert.Len(t, s.Crashes(at(0))[0].Parts, 256)
	s.Merge(at(1), []poison.Crash{{Request: 10, Parts: []uint64{5, 5, 5}, Target: "t"}}, nil)
	assert.Equal(t, []int{5}, blockedFeatures(s, at(1)))
	assert.Len(t, s.Crashes(at(300.5)), 2)
	assert.Empty(t, s.Crashes(at(301)))
}

// Guards against a lookup of a request with more parts than are counted.
func TestRequestWithThousandsOfParts(t *testing.T) {
	s := poison.New()
	parts := slices.Repeat([]uint64{1, 2, 3}, 5000)
	crashAll(s, at(0), "a", request(1, parts...))
	crashAll(s, at(1), "b", request(2, parts...))
	assert.True(t, refused(s, at(2), request(3, parts...)))
	s.Answered(at(4), at(3), request(4, parts...))
	assert.Empty(t, s.Blocked(at(4)))
}

// letter is a message under way to a node.
type letter struct {
	to        int
	crashes   []poison.Crash
	survivals []poison.Survival
	sent      time.Time
}

// mesh connects counters by messages that arrive in any order.
type mesh struct {
	nodes   []*poison.Counter
	letters []letter
}

func (m *mesh) send(now time.Time, from int, crashes []poison.Crash, survivals []poison.Survival) {
	if len(crashes)+len(survivals) == 0 {
		return
	}
	for to := range m.nodes {
		if to != from {
			m.letters = append(m.letters, letter{to: to, crashes: crashes, survivals: survivals, sent: now})
		}
	}
}

// deliver gives a message to its node; the sender's ages are those at its arrival.
func (m *mesh) deliver(now time.Time, i int) {
	l := m.letters[i]
	m.letters = slices.Delete(m.letters, i, i+1)
	crashes, survivals := slices.Clone(l.crashes), slices.Clone(l.survivals)
	for i := range crashes {
		crashes[i].Age += now.Sub(l.sent)
	}
	for i := range survivals {
		survivals[i].Age += now.Sub(l.sent)
	}
	newCrashes, newSurvivals := m.nodes[l.to].Merge(now, crashes, survivals)
	m.send(now, l.to, newCrashes, newSurvivals)
}

// Guards against nodes that decide differently for ever, by the order of messages.
func TestNodesConverge(t *testing.T) {
	blocked := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &mesh{}
		for range rapid.IntRange(2, 4).Draw(t, "nodes") {
			m.nodes = append(m.nodes, poison.New())
		}
		now := start
		crashed := map[string]time.Time{}
		for range rapid.IntRange(20, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "wait")) * 100 * time.Millisecond)
			step(t, m, now, crashed)
		}
		for i, s := range m.nodes {
			for _, target := range []string{"a", "b", "c"} {
				crashes, survivals := s.TargetCrashed(now, target)
				m.send(now, i, crashes, survivals)
			}
		}
		for delivered := 0; len(m.letters) > 0; delivered++ {
			if delivered > 100000 {
				t.Fatal("messages never end")
			}
			m.deliver(now, rapid.IntRange(0, len(m.letters)-1).Draw(t, "letter"))
		}
		blocked += min(1, len(m.nodes[0].Blocked(now)))
		for i, s := range m.nodes[1:] {
			assert.Equal(t, m.nodes[0].Blocked(now), s.Blocked(now), "node %d", i+1)
			assert.Equal(t, m.nodes[0].Crashes(now), s.Crashes(now), "node %d", i+1)
			for digest := range uint64(20) {
				r := chainedRequest(digest)
				assert.Equal(t, m.nodes[0].Suspected(now, r), s.Suspected(now, r), "node %d, request %d", i+1, digest)
			}
		}
	})
	assert.Positive(t, blocked, "some runs must end with a block")
}

// step lets one thing happen to one of the nodes.
func step(t *rapid.T, m *mesh, now time.Time, crashed map[string]time.Time) {
	node := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")
	s := m.nodes[node]
	target := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "target")
	r := chainedRequest(rapid.Uint64Range(0, 19).Draw(t, "request"))
	switch rapid.IntRange(0, 5).Draw(t, "action") {
	case 0, 1:
		// The nodes see a crash within 200 ms, and a target needs time to come back.
		since := now.Sub(crashed[target])
		if since >= 200*time.Millisecond && since < 2*time.Second {
			return
		}
		if since >= 2*time.Second {
			crashed[target] = now
		}
		s.ConnectionBroke(now, r, target, rapid.Bool().Draw(t, "began"))
	case 2:
		crashes, survivals := s.TargetCrashed(now, target)
		m.send(now, node, crashes, survivals)
	case 3:
		age := time.Duration(rapid.IntRange(0, 20).Draw(t, "age"))*100*time.Millisecond + 50*time.Millisecond
		m.send(now, node, nil, s.Answered(now, now.Add(-age), r))
	default:
		for range min(len(m.letters), 3) {
			m.deliver(now, rapid.IntRange(0, len(m.letters)-1).Draw(t, "letter"))
		}
	}
}

// chainedRequest returns one of several requests that share parts.
func chainedRequest(digest uint64) poison.Request {
	return request(digest, 100+digest%2, 200+digest%3, 300+digest%5)
}
