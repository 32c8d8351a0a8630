package soak_test

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/platform/fake"
)

const (
	// quietTime is the time of sound requests only, before the first deadly one.
	quietTime = 5 * time.Second
	// deadlyInterval is the pause of a caller between two deadly requests.
	deadlyInterval = 400 * time.Millisecond
	// knownCrashes is the number of crashes after which a part must be found.
	knownCrashes = 5
	// maxReaching is the number of requests with a known part that may reach targets.
	maxReaching = 3
	// minSample is the least number of sound requests to judge by.
	minSample = 20
	// minServedRatio is the least ratio of the shares of sound requests that begin.
	minServedRatio = 0.5
)

// soundParts returns the parts that a sound request shares with others.
func (c *caller) soundParts() []string {
	return []string{"aa:500", fmt.Sprintf("b%d:300", c.random.IntN(20))}
}

// promptTokens returns the number of tokens of a list of parts.
func promptTokens(parts string) int {
	sum := 0
	for part := range strings.SplitSeq(parts, ",") {
		_, count, _ := strings.Cut(part, ":")
		// Parts of the soak always have a number.
		tokens, _ := strconv.Atoi(count)
		sum += tokens
	}
	return sum
}

// sendDeadly sends requests with at least one deadly part to a host until the context
// ends, after [quietTime]. They share their keys and their other parts with sound
// requests.
func (c *caller) sendDeadly(ctx context.Context, p *process, deadly []string) {
	defer c.client.CloseIdleConnections()
	pause := quietTime + time.Duration(c.random.Int64N(int64(deadlyInterval)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = deadlyInterval
		parts := c.soundParts()
		for _, i := range c.random.Perm(len(deadly))[:1+c.random.IntN(len(deadly))] {
			parts = slices.Insert(parts, c.random.IntN(len(parts)+1), deadly[i]+":200")
		}
		c.fleet.checker.addRecord(c.send(p, fake.Streams, fmt.Sprintf("key-%d-a", c.random.IntN(workspaceCount)), parts...))
	}
}

// partIDs returns the IDs of the shared parts of a request, without the last part.
func (r *record) partIDs() []string {
	var ids []string
	for part := range strings.SplitSeq(r.parts, ",") {
		id, _, _ := strings.Cut(part, ":")
		ids = append(ids, id)
	}
	return ids[:len(ids)-1]
}

// checkParts checks for each deadly part that requests with it reach targets no more
// once it has crashed enough of them, and that sound requests that share their key or
// their first part with these still begin.
func (c *checker) checkParts() (found []string) {
	for _, part := range c.deadly {
		var with []record
		for _, r := range c.records {
			if slices.Contains(r.partIDs(), part) {
				with = append(with, r)
			}
		}
		slices.SortFunc(with, func(a, b record) int { return a.sent.Compare(b.sent) })
		crashes := c.crashesBy(with)
		c.notes = append(c.notes, fmt.Sprintf("part %s: %d requests, %d crashes", part, len(with), len(crashes)))
		if len(crashes) < knownCrashes {
			continue
		}
		known := crashes[knownCrashes-1]
		found = append(found, c.checkReaching(part, with, known)...)
		found = append(found, c.checkSound(part, with, known)...)
	}
	return found
}

// crashesBy returns the times of the crashes by requests, in order.
func (c *checker) crashesBy(requests []record) []time.Time {
	ids := map[string]bool{}
	for _, r := range requests {
		ids[r.id] = true
	}
	var times []time.Time
	for _, crash := range c.crashes {
		if ids[crash.ID] {
			times = append(times, crash.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// checkReaching counts the requests that undisturbed hosts sent to targets later than
// [fake.CatchUpTime] after the part was known.
func (c *checker) checkReaching(part string, with []record, known time.Time) []string {
	var late []string
	for _, r := range with {
		for _, run := range c.runs[r.id] {
			if run.At.After(known.Add(fake.CatchUpTime)) && c.undisturbed(r.host, run.At, run.At) {
				late = append(late, fmt.Sprintf("%s from %s at +%dms", r.id, r.host, run.At.Sub(known).Milliseconds()))
				break
			}
		}
	}
	c.notes = append(c.notes, fmt.Sprintf("part %s: %d requests reached targets late", part, len(late)))
	if len(late) <= maxReaching {
		return nil
	}
	return []string{fmt.Sprintf("%d requests with part %s reached targets more than %v after its crash number %d, first %s",
		len(late), part, fake.CatchUpTime, knownCrashes, late[0])}
}

// checkSound compares, for each key and each first part of the deadly requests, the
// shares of the sound requests that began before the first of them and later than
// twice [fake.CatchUpTime] after the part was known.
func (c *checker) checkSound(part string, with []record, known time.Time) (found []string) {
	keys, firsts := map[string]bool{}, map[string]bool{}
	for _, r := range with {
		keys[r.key], firsts[r.partIDs()[0]] = true, true
	}
	before, after := map[string]*share{}, map[string]*share{}
	from, end := known.Add(2*fake.CatchUpTime), with[len(with)-1].sent
	for _, r := range c.records {
		if r.parts == "" || r.status == 401 || c.isDeadly(r) || !c.undisturbed(r.host, r.sent, r.ended) {
			continue
		}
		groups := before
		switch {
		case r.sent.After(from) && r.sent.Before(end):
			groups = after
		case r.sent.After(with[0].sent):
			continue
		}
		if keys[r.key] {
			addShare(groups, "key "+r.key, len(c.runs[r.id]) > 0)
		}
		if first := r.partIDs()[0]; firsts[first] {
			addShare(groups, "first part "+first, len(c.runs[r.id]) > 0)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		was, is := before[name], after[name]
		if is == nil || was.sent < minSample || is.sent < minSample {
			continue
		}
		text := fmt.Sprintf("part %s: sound requests with %s: %d of %d began before, %d of %d after", part, name, was.begun, was.sent, is.begun, is.sent)
		c.notes = append(c.notes, text)
		if is.ratio() < minServedRatio*was.ratio() {
			found = append(found, text)
		}
	}
	return found
}

// share counts requests and those of them that began at a target.
type share struct{ sent, begun int }

func (s share) ratio() float64 { return float64(s.begun) / float64(s.sent) }

func addShare(groups map[string]*share, name string, begun bool) {
	if groups[name] == nil {
		groups[name] = &share{}
	}
	groups[name].sent++
	if begun {
		groups[name].begun++
	}
}

func (c *checker) isDeadly(r record) bool {
	return slices.ContainsFunc(r.partIDs(), func(id string) bool { return slices.Contains(c.deadly, id) })
}

// partsRun is a run with a deadly part whose fifth crash is [knownAt] after the start.
type partsRun struct {
	crashes, late int
	// lateAfter is the time from the fifth crash to the late requests.
	lateAfter time.Duration
	parts     string
	disturbed bool
	// sound and begun are the sound requests after the crashes and those that ran.
	sound, begun int
	want         int
}

const knownAt = 15 * time.Second

// TestCheckParts guards against a check of the deadly parts that finds nothing, or
// counts what the bounds leave out.
func TestCheckParts(t *testing.T) {
	const second = time.Second
	tests := map[string]partsRun{
		"few late ones":              {crashes: 5, late: 3, lateAfter: 4 * second},
		"too many late ones":         {crashes: 5, late: 4, lateAfter: 4 * second, want: 1},
		"in the time to find them":   {crashes: 5, late: 9, lateAfter: 2 * second},
		"from a disturbed host":      {crashes: 5, late: 9, lateAfter: 4 * second, disturbed: true},
		"four crashes":               {crashes: 4, late: 9, lateAfter: 4 * second},
		"harmless as the last part":  {crashes: 5, late: 9, lateAfter: 4 * second, parts: "aa:1,dead:1"},
		"half of the sound ones":     {crashes: 5, sound: 20, begun: 10},
		"under half of them":         {crashes: 5, sound: 20, begun: 9, want: 2},
		"too few to judge":           {crashes: 5, sound: 19},
		"disturbed, under half":      {crashes: 5, sound: 20, disturbed: true},
		"late ones and refused ones": {crashes: 5, late: 4, lateAfter: 4 * second, sound: 30, want: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Len(t, test.checker().checkParts(), test.want) })
	}
}

// checker returns what a checker has recorded in the run.
func (p partsRun) checker() *checker {
	c := newChecker()
	c.deadly = []string{"dead"}
	start := time.Now()
	add := func(at time.Duration, parts string, ran bool) fake.Run {
		r := record{id: fmt.Sprint(len(c.records)), path: fake.Streams, key: "k", host: "h", parts: parts, sent: start.Add(at), ended: start.Add(at)}
		c.addRecord(r)
		run := fake.Run{ID: r.id, At: r.sent}
		if ran {
			c.RecordRun(run)
		}
		return run
	}
	const deadly = "aa:1,dead:1,c:1"
	for i := range minSample {
		add(time.Duration(i)*time.Millisecond, "aa:1,b:1", true)
	}
	for i := range p.crashes {
		c.RecordCrash(add(knownAt-time.Duration(i)*time.Millisecond, deadly, true))
	}
	for range p.late {
		add(knownAt+p.lateAfter, cmp.Or(p.parts, deadly), true)
	}
	for i := range p.sound {
		add(knownAt+2*fake.CatchUpTime+time.Second, "aa:1,b:1", i < p.begun)
	}
	add(knownAt+3*fake.CatchUpTime, deadly, false)
	if p.disturbed {
		c.faults["h"] = []span{{from: start.Add(knownAt + time.Second), to: start.Add(knownAt + 5*time.Second)}}
	}
	return c
}
