package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadamill/cicadamill/internal/route/cell"
	"github.com/cicadamill/cicadamill/internal/route/job"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// serve runs a request to completion.
func (b *harness) serve(j job.Job) {
	b.commands = b.commands[:0]
	for _, c := range b.update(cell.Arrived{Job: j}) {
		if s, ok := c.(cell.Start); ok {
			b.update(cell.FirstToken{Job: s.Job, Attempt: s.Attempt})
			b.update(cell.Ended{Job: s.Job, Attempt: s.Attempt, Outcome: effect.Answered{}})
		}
	}
	b.now = b.now.Add(time.Millisecond)
}

func promptJob(workspace, leaf int) job.Job {
	blocks := make([]uint64, 10)
	for i := range blocks {
		blocks[i] = uint64(workspace*1000 + i + 1)
	}
	blocks[8], blocks[9] = uint64(1e9+leaf), uint64(2e9+leaf)
	j := newJob(fmt.Sprint(workspace, "-", leaf), blocks...)
	j.Workspace = fmt.Sprint(workspace)
	return j
}

// BenchmarkRequest measures one request from arrival to completion, by the number
// of engines in the cell.
func BenchmarkRequest(b *testing.B) {
	for _, engines := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			h := newHarness(engines)
			jobs := make([]job.Job, 512)
			for i := range jobs {
				jobs[i] = promptJob(i%16, i%128)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				h.serve(jobs[i%len(jobs)])
			}
		})
	}
}

// BenchmarkWorkspaces measures a request by the number of workspaces.
func BenchmarkWorkspaces(b *testing.B) {
	for _, workspaces := range []int{8, 80, 800, 2600} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			h := newHarness(24)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				h.serve(promptJob(i%workspaces, i%128))
			}
		})
	}
}

// BenchmarkPrefixes measures a request by the number of distinct prompts.
func BenchmarkPrefixes(b *testing.B) {
	for _, prefixes := range []int{100, 1000, 10000, 100000} {
		b.Run(fmt.Sprintf("prefixes=%d", prefixes), func(b *testing.B) {
			h := newHarness(24)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				h.serve(promptJob(i%16, i%prefixes))
			}
		})
	}
}

// BenchmarkMessages measures load reports, cache events and ticks.
func BenchmarkMessages(b *testing.B) {
	h := newHarness(24)
	b.Run("report", func(b *testing.B) {
		for b.Loop() {
			h.update(cell.LoadReport{Target: "e3", Load: engine.LoadReport{Incarnation: "first", PrefillTokens: 900, Age: time.Second}})
		}
	})
	b.Run("event", func(b *testing.B) {
		seq := uint64(0)
		for b.Loop() {
			seq++
			h.update(cell.CacheEvents{Target: "e3", Batch: engine.CacheEvents{Incarnation: "first", Events: []engine.CacheEvent{{Seq: seq, Block: seq}}}})
		}
	})
	b.Run("tick", func(b *testing.B) {
		for b.Loop() {
			h.update(cell.Tick{})
		}
	})
}
