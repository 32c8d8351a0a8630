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
	// changesPerDay and restartsPerDay are those of the largest fleet.
	changesPerDay  = 16_000
	restartsPerDay = 3_900
	day            = 24 * time.Hour
)

// scheduleDailyLoad schedules restarts of nodes and changes of the
// configuration at the rates of an ordinary day of the largest fleet.
func (c *simulation) scheduleDailyLoad(count int, span time.Duration) {
	version := uint64(0)
	for at := time.Duration(0); at < span; at += day / changesPerDay {
		version++
		number := version
		c.schedule(at, func() { c.update(name(c.random.IntN(count)), member.ConfigApplied{Version: number}) })
	}
	for at := 10 * time.Second; at < span; at += day / restartsPerDay {
		c.schedule(at, func() {
			i := c.random.IntN(count)
			c.nodes[name(i)].down = true
			c.schedule(2*time.Second, func() { c.boot(i) })
		})
	}
}

// bytesPerNodeSecond advances by span and returns the bytes that a node sends
// per second: encoded requests and responses with their headers.
func (c *simulation) bytesPerNodeSecond(span time.Duration) float64 {
	c.measure, c.bytes, c.sends = true, 0, 0
	c.advance(span)
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
			c := newSimulation(test.nodes, 1, true)
			c.advance(test.warm)
			c.scheduleDailyLoad(test.nodes, span)
			assert.Less(t, 2*c.bytesPerNodeSecond(span), float64(budgetBytesPerSecond))
		})
	}
}

// BenchmarkFleet reports the bytes that a node sends and receives per second:
// when all nodes start at once, when nothing changes, and under an ordinary
// day's load.
func BenchmarkFleet(b *testing.B) {
	for _, count := range []int{8, 60, 240, 480} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				c := newSimulation(count, 1, true)
				b.ReportMetric(2*c.bytesPerNodeSecond(30*time.Second), "herdB/s")
				c.advance(4 * time.Minute)
				b.ReportMetric(2*c.bytesPerNodeSecond(30*time.Second), "quietB/s")
				c.scheduleDailyLoad(count, time.Minute)
				b.ReportMetric(2*c.bytesPerNodeSecond(time.Minute), "dayB/s")
				b.ReportMetric(float64(c.sends)/float64(count)/60, "exchanges/s")
				b.ReportMetric(float64(c.counts[member.CountDead]), "deaths")
			}
		})
	}
}

// BenchmarkReceive measures one received note with eight entries and its
// response.
func BenchmarkReceive(b *testing.B) {
	for _, count := range []int{8, 60, 240, 480} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c := newSimulation(count, 1, true)
			c.advance(20 * time.Second)
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

// BenchmarkTick measures one tick of a node that knows the whole fleet.
func BenchmarkTick(b *testing.B) {
	for _, count := range []int{8, 60, 240, 480} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c := newSimulation(count, 1, true)
			c.advance(20 * time.Second)
			state := c.nodes[name(0)].state
			b.ReportAllocs()
			for b.Loop() {
				c.now = c.now.Add(member.TickInterval)
				state, _ = state.Update(c.now, member.Tick{})
			}
		})
	}
}

// BenchmarkMemory reports the bytes of state per known node.
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
