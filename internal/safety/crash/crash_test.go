package crash_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/safety/crash"
)

var epoch = time.Unix(1_000_000, 0)

// apply sends all messages at the same time and returns the commands of the last.
func apply(s crash.State, messages ...crash.Message) (crash.State, []crash.Command) {
	var commands []crash.Command
	for _, message := range messages {
		s, commands = s.Update(epoch, message)
	}
	return s, commands
}

func TestUpdate(t *testing.T) {
	together := []crash.Message{
		crash.Admit{Job: "p", Fingerprint: 1, Target: "a"},
		crash.Admit{Job: "i", Fingerprint: 2, Target: "a"},
		crash.Crashed{Job: "i", Target: "a"},
	}
	alone := append(together[:3:3], crash.Admit{Job: "p2", Fingerprint: 1, Target: "b"})
	tests := map[string]struct {
		before []crash.Message
		last   crash.Message
		want   []crash.Command
		counts []int
	}{
		"first run":                               {last: together[0], want: []crash.Command{crash.Start{Job: "p"}}, counts: []int{0, 0}},
		"all requests in flight are suspects":     {before: together[:2], last: together[2], counts: []int{1, 1}},
		"second report of one crash":              {before: alone, last: crash.Crashed{Job: "p", Target: "a"}, counts: []int{1, 1}},
		"suspect runs alone":                      {before: together, last: alone[3], want: []crash.Command{crash.Start{Job: "p2", Alone: true}}, counts: []int{1, 1}},
		"no other request beside a suspect":       {before: alone, last: crash.Admit{Job: "x", Fingerprint: 3, Target: "b"}, want: []crash.Command{crash.Move{Job: "x"}}, counts: []int{1, 1}},
		"convicted by a crash when alone":         {before: alone, last: crash.Crashed{Job: "p2", Target: "b"}, counts: []int{2, 1}},
		"unresponsive engine convicts none":       {before: alone, last: crash.Crashed{Job: "p2", Target: "b", Silent: true}, counts: []int{1, 1}},
		"changed incarnation":                     {before: append(together[:2:2], crash.Reported{Target: "a", Incarnation: "1"}), last: crash.Reported{Target: "a", Incarnation: "2"}, counts: []int{1, 1}},
		"request accepted by the new incarnation": {before: append(together[:1:1], crash.Reported{Target: "a", Incarnation: "1"}, together[1]), last: crash.Reported{Target: "a", Incarnation: "2", Job: "i"}, counts: []int{1, 0}},
		"cleared when finished":                   {before: alone, last: crash.Ended{Job: "p2", Fingerprint: 1, Target: "b", Finished: true}, counts: []int{0, 1}},
		"not cleared when the client disconnects": {before: alone, last: crash.Ended{Job: "p2", Fingerprint: 1, Target: "b"}, counts: []int{1, 1}},
		"convicted is refused": {
			before: append(alone[:4:4], crash.Crashed{Job: "p2", Target: "b"}), last: crash.Admit{Job: "p3", Fingerprint: 1, Target: "c"},
			want: []crash.Command{crash.Refuse{Job: "p3"}}, counts: []int{2, 1},
		},
		"suspect waits for an empty engine": {
			before: append(together[:3:3], crash.Admit{Job: "x", Fingerprint: 3, Target: "b"}), last: alone[3], counts: []int{1, 1},
		},
		"waiting suspect starts": {
			before: append(together[:3:3], crash.Admit{Job: "x", Fingerprint: 3, Target: "b"}, alone[3]), last: crash.Ended{Job: "x", Target: "b"},
			want: []crash.Command{crash.Start{Job: "p2", Alone: true}}, counts: []int{1, 1},
		},
		"at most one engine in four is reserved": {
			before: alone, last: crash.Admit{Job: "i2", Fingerprint: 2, Target: "c"}, counts: []int{1, 1},
		},
		"conviction from a peer": {last: crash.Received{Entries: []crash.Entry{{Fingerprint: 1, Count: 2, Age: time.Second}}}, counts: []int{2, 0}},
		"older entry from a peer": {
			before: append(alone[:4:4], crash.Ended{Job: "p2", Fingerprint: 1, Target: "b", Finished: true}),
			last:   crash.Received{Entries: []crash.Entry{{Fingerprint: 1, Count: 1, Age: time.Minute}}}, counts: []int{0, 1},
		},
		"expired entry from a peer": {last: crash.Received{Entries: []crash.Entry{{Fingerprint: 1, Count: 2, Age: time.Hour}}}, counts: []int{0, 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := apply(crash.New(), test.before...)
			s, commands := apply(s, test.last)
			assert.Equal(t, test.want, commands)
			assert.Equal(t, test.counts, []int{count(s, 1), count(s, 2)})
		})
	}
}

func count(s crash.State, fingerprint uint64) int {
	switch {
	case s.Convicted(epoch, fingerprint):
		return 2
	case s.Suspect(epoch, fingerprint):
		return 1
	default:
		return 0
	}
}

func TestEntriesExpireAndAreBounded(t *testing.T) {
	s := crash.New()
	for i := range uint64(6000) {
		s, _ = apply(s, crash.Received{Entries: []crash.Entry{{Fingerprint: i, Count: 1 + int(i)%2}}})
	}
	assert.Len(t, s.Entries(epoch), 4096)
	later := epoch.Add(16 * time.Minute)
	s, _ = s.Update(later, crash.Tick{})
	assert.Empty(t, s.Entries(later))
}

// TestSuspectStopsWaiting checks that a suspect that has waited too long runs
// beside other requests and is not convicted by a crash then.
func TestSuspectStopsWaiting(t *testing.T) {
	s, _ := apply(crash.New(), crash.Received{Entries: []crash.Entry{{Fingerprint: 1, Count: 1}}},
		crash.Admit{Job: "x", Fingerprint: 3, Target: "a"}, crash.Admit{Job: "p", Fingerprint: 1, Target: "a"})
	at, ok := s.NextDeadline()
	assert.True(t, ok)
	s, commands := s.Update(at, crash.Tick{})
	assert.Equal(t, []crash.Command{crash.Start{Job: "p"}}, commands)
	s, _ = s.Update(at, crash.Crashed{Job: "p", Target: "a"})
	assert.False(t, s.Convicted(at, 1), "a crash of an engine with other requests convicts none")
}

const crashingFingerprint = 1

// world simulates engines that crash when they run the request with
// crashingFingerprint.
type world struct {
	t             *rapid.T
	state         crash.State
	now           time.Time
	running       map[string]crash.Admit
	placed        map[string]crash.Admit
	crashes       int
	suspectShared bool
}

func (w *world) step(message crash.Message) {
	var commands []crash.Command
	w.state, commands = w.state.Update(w.now, message)
	for _, command := range commands {
		switch c := command.(type) {
		case crash.Start:
			w.running[c.Job] = w.placed[c.Job]
			w.suspectShared = w.suspectShared || (w.state.Suspect(w.now, w.placed[c.Job].Fingerprint) && !c.Alone)
		case crash.Refuse:
			assert.EqualValues(w.t, crashingFingerprint, w.placed[c.Job].Fingerprint, "an innocent request was refused")
		}
	}
}

func (w *world) place(place crash.Admit) {
	w.placed[place.Job] = place
	w.step(place)
}

// finish finishes a request, or crashes its engine if it is the crashing one.
func (w *world) finish(job string) {
	run, ok := w.running[job]
	if !ok {
		return
	}
	if run.Fingerprint != crashingFingerprint {
		delete(w.running, job)
		w.step(crash.Ended{Job: job, Fingerprint: run.Fingerprint, Target: run.Target, Finished: true})
		return
	}
	w.crashes++
	for other, beside := range w.running {
		if beside.Target == run.Target {
			delete(w.running, other)
		}
	}
	w.step(crash.Crashed{Job: job, Target: run.Target})
}

func (w *world) jobs() []string { return slices.Sorted(maps.Keys(w.running)) }

// TestPoisonIsFoundAndInnocentsAreNot runs repeats of a request that crashes its
// engine beside other requests on three engines. No other request may be refused,
// and the number of crashes must be bounded.
func TestPoisonIsFoundAndInnocentsAreNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, state: crash.New(), now: epoch, running: map[string]crash.Admit{}, placed: map[string]crash.Admit{}}
		for i := range rapid.IntRange(20, 200).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "millis")) * time.Millisecond)
			w.place(crash.Admit{
				Job: fmt.Sprint(i), Target: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "target"),
				Fingerprint: uint64(rapid.SampledFrom([]int{crashingFingerprint, 2, 3, 4, 5, 6, 7, 8}).Draw(t, "print")),
			})
			if jobs := w.jobs(); len(jobs) > 0 && rapid.Bool().Draw(t, "end") {
				w.finish(rapid.SampledFrom(jobs).Draw(t, "job"))
			}
		}
		if !w.suspectShared {
			// The request can run on all three engines before the first crash is known.
			assert.LessOrEqual(t, w.crashes, 3+1)
		}
	})
}

func ExampleState_Update() {
	s := crash.New()
	for _, target := range []string{"engine-1", "engine-2"} {
		s, _ = s.Update(epoch, crash.Admit{Job: target, Fingerprint: 7, Target: target})
		s, _ = s.Update(epoch, crash.Crashed{Job: target, Target: target})
	}
	_, commands := s.Update(epoch, crash.Admit{Job: "again", Fingerprint: 7, Target: "engine-3"})
	fmt.Printf("%T\n", commands[0])
	// Output: crash.Refuse
}
