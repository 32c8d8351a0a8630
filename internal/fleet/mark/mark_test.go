package mark_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/fleet/mark"
	"github.com/cicadamill/cicadamill/internal/peer/note"
)

var start = time.Unix(1_000_000, 0)

func TestLeaving(t *testing.T) {
	tests := map[string]struct {
		prepare     func(mark.Set)
		incarnation string
		want        bool
	}{
		"no mark":             {prepare: func(mark.Set) {}},
		"marked":              {prepare: func(s mark.Set) { s.Add(start, note.Mark{Target: "e", Incarnation: "1"}) }, incarnation: "1", want: true},
		"other incarnation":   {prepare: func(s mark.Set) { s.Add(start, note.Mark{Target: "e", Incarnation: "1"}) }, incarnation: "2"},
		"unknown incarnation": {prepare: func(s mark.Set) { s.Add(start, note.Mark{Target: "e", Incarnation: "1"}) }, want: true},
		"came back": {prepare: func(s mark.Set) {
			s.Add(start, note.Mark{Target: "e", Incarnation: "1"})
			s.RecordIncarnation("e", "2")
		}},
		"late report of the old start": {prepare: func(s mark.Set) {
			s.Add(start, note.Mark{Target: "e", Incarnation: "1"})
			s.RecordIncarnation("e", "2")
			s.RecordIncarnation("e", "1")
		}, want: true},
		"listed, incarnation known": {prepare: func(s mark.Set) {
			s.RecordIncarnation("e", "1")
			s.ApplyHostList(start, []string{"e"})
			s.ApplyHostList(start, nil)
		}, want: true},
		"listed, incarnation unknown": {prepare: func(s mark.Set) { s.ApplyHostList(start, []string{"e"}) }, want: true},
		"listed, any start of it":     {prepare: func(s mark.Set) { s.ApplyHostList(start, []string{"e"}) }, incarnation: "7", want: true},
		"came back, list lags": {prepare: func(s mark.Set) {
			s.RecordIncarnation("e", "1")
			s.ApplyHostList(start, []string{"e"})
			s.RecordIncarnation("e", "2")
			s.ApplyHostList(start, []string{"e"})
		}},
		"no longer listed, never marked": {prepare: func(s mark.Set) { s.ApplyHostList(start, []string{"e"}); s.ApplyHostList(start, nil) }},
		"a day later": {prepare: func(s mark.Set) {
			s.Add(start, note.Mark{Target: "e", Incarnation: "1"})
			s.Expire(start.Add(25 * time.Hour))
		}},
		"a day later, still there": {prepare: func(s mark.Set) {
			s.RecordIncarnation("e", "1")
			s.ApplyHostList(start, []string{"e"})
			s.Expire(start.Add(25 * time.Hour))
		}, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := mark.New()
			test.prepare(s)
			assert.Equal(t, test.want, s.Leaving("e", test.incarnation))
		})
	}
}

func TestMarkNeverGoesForItsIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := mark.New()
		s.RecordIncarnation("e", "1")
		s.Add(start, note.Mark{Target: "e", Incarnation: "1"})
		for i := range rapid.IntRange(0, 40).Draw(t, "steps") {
			name := fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "target"))
			now := start.Add(time.Duration(i) * time.Minute)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				s.RecordIncarnation(name, rapid.StringMatching("[12]").Draw(t, "incarnation"))
			case 1:
				s.Add(now, note.Mark{Target: name, Incarnation: rapid.StringMatching("[12]").Draw(t, "incarnation")})
			case 2:
				s.ApplyHostList(now, []string{name})
			case 3:
				s.Expire(now)
			}
			if !s.Leaving("e", "1") {
				t.Fatal("the mark of the target's incarnation is missing")
			}
		}
	})
}

func TestSetIsBounded(t *testing.T) {
	s := mark.New()
	for i := range 10_000 {
		s.Add(start, note.Mark{Target: fmt.Sprint(i), Incarnation: "1"})
		s.Add(start, note.Mark{Target: "e", Incarnation: fmt.Sprint(i)})
	}
	const bound = 4096 * 4
	assert.LessOrEqual(t, len(s.All()), bound)
	assert.True(t, s.Leaving("0", "1"), "a later mark evicted an earlier one")
}

func ExampleSet_Leaving() {
	marks := mark.New()
	marks.Add(time.Unix(0, 0), note.Mark{Target: "engine-1", Incarnation: "a"})
	fmt.Println(marks.Leaving("engine-1", "a"), marks.Leaving("engine-1", "b"))
	// Output: true false
}
