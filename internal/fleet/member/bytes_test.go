package member_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/fleet/member"
	"github.com/cicadamill/cicadamill/internal/peer/note"
)

const (
	budgetBytesPerSecond = 8 << 10
	// dayOfChanges and dayOfRestarts are of the whole fleet at its largest.
	dayOfChanges  = 16_000
	dayOfRestarts = 3_900
	day           = 24 * time.Hour
)

// load restarts nodes and changes the configuration at the rates of an ordinary
// day of the largest fleet.
func (c *carrier) load(count int, span time.Duration) {
	version := uint64(0)
	for at := time.Duration(0); at < span; at += day / dayOfChanges {
		version++
		number := version
		c.after(at, func() { c.update(name(c.random.IntN(count)), member.Applied{Version: number}) })
	}
	for at := 10 * time.Second; at < span; at += day / dayOfRestarts {
		c.after(at, func() {
			i := c.random.IntN(count)
			c.nodes[name(i)].down = true
			c.after(2*time.Second, func() { c.boot(i) })
		})
	}
}

// measured runs for a span and returns the bytes that one node sends in a
// second: encoded requests and responses with their headers.
func (c *carrier) measured(span time.Duration) float64 {
	c.measure, c.bytes, c.sends = true, 0, 0
	c.run(span)
	return float64(c.bytes) / float64(len(c.nodes)) / span.Seconds()
}

func TestBytesStayInTheBudget(t *testing.T) {
	tests := map[string]struct {
		nodes int
		warm  time.Duration
	}{
		"8 nodes":          {nodes: 8, warm: 30 * time.Second},
		"60 nodes":         {nodes: 60, warm: 30 * time.Second},
		"60 nodes, herd":   {nodes: 60},
		"480 nodes, herd":  {nodes: 480},
		"240 nodes, herd":  {nodes: 240},
		"no other node up": {nodes: 1},
	}
	for title, test := range tests {
		t.Run(title, func(t *testing.T) {
			const span = 10 * time.Second
			c := newCarrier(test.nodes, 1, true)
			c.run(test.warm)
			c.load(test.nodes, span)
			assert.Less(t, 2*c.measured(span), float64(budgetBytesPerSecond))
		})
	}
}

// BenchmarkFleet reports what one node sends and receives in a second, first
// when all nodes start at once, then quiet, then under an ordinary day's load.
func BenchmarkFleet(b *testing.B) {
	for _, count := range []int{8, 60, 240, 480} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				c := newCarrier(count, 1, true)
				b.ReportMetric(2*c.measured(30*time.Second), "herdB/s")
				c.run(4 * time.Minute)
				b.ReportMetric(2*c.measured(30*time.Second), "quietB/s")
				c.load(count, time.Minute)
				b.ReportMetric(2*c.measured(time.Minute), "dayB/s")
				b.ReportMetric(float64(c.sends)/float64(count)/60, "exchanges/s")
				b.ReportMetric(float64(c.counts[member.CountDead]), "deaths")
			}
		})
	}
}

// BenchmarkReceive is one received note with eight entries and its answer.
func BenchmarkReceive(b *testing.B) {
	for _, count := range []int{8, 60, 240, 480} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c := newCarrier(count, 1, true)
			c.run(20 * time.Second)
			state := c.nodes[name(0)].state
			n := note.Note{From: state.Nodes()[1].Entry}
			for i := range min(8, count-1) {
				n.Entries = append(n.Entries, state.Nodes()[i+1].Entry)
			}
			b.ReportAllocs()
			for b.Loop() {
				c.now = c.now.Add(250 * time.Millisecond)
				state, _ = state.Update(c.now, member.Received{Note: n})
			}
		})
	}
}

// BenchmarkTick is one tick of a node that knows the whole fleet.
func BenchmarkTick(b *testing.B) {
	for _, count := range []int{8, 60, 240, 480} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c := newCarrier(count, 1, true)
			c.run(20 * time.Second)
			state := c.nodes[name(0)].state
			b.ReportAllocs()
			for b.Loop() {
				c.now = c.now.Add(member.TickInterval)
				state, _ = state.Update(c.now, member.Tick{})
			}
		})
	}
}

// BenchmarkMemory reports the bytes of state that one more known node takes.
func BenchmarkMemory(b *testing.B) {
	const count = 2000
	for b.Loop() {
		var before, after runtime.MemStats
		state := member.New(member.Options{Name: "a", Address: "a", Incarnation: 1})
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range count {
			from := note.Entry{Name: name(i), Address: address(i), DataCentre: dataCentre(i), Incarnation: uint64(1_700_000_000_000 + i), State: note.Alive}
			state, _ = state.Update(time.Unix(int64(i), 0), member.Received{Note: note.Note{From: from}})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/node")
		runtime.KeepAlive(state)
	}
}
