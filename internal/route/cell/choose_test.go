package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/route/job"
)

// newChoice returns a state whose engines cache prefixes of different lengths of
// one prompt, and a request with that prompt.
func newChoice(engines int) (State, *request) {
	m := Targets{HasStore: true}
	for i := range engines {
		m.All = append(m.All, Target{Name: fmt.Sprintf("e%d", i), Applications: []string{"chat"}, Capacity: 1, CacheBlocks: 128})
	}
	s, _ := New().Update(time.Unix(0, 0), m)
	prompt := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	for i, t := range s.targets {
		t.cache.Touch(time.Unix(0, 0), prompt[:i%len(prompt)])
	}
	return s, &request{job: job.Job{Application: "chat", Workspace: "w", Blocks: prompt, BlockTokens: 2000, PromptTokens: 17000}}
}

func TestChoiceAllocatesNothing(t *testing.T) {
	for _, engines := range []int{2, 24, 200} {
		s, r := newChoice(engines)
		s.choose(time.Unix(1, 0), r)
		assert.Zero(t, testing.AllocsPerRun(100, func() { s.choose(time.Unix(1, 0), r) }), engines)
	}
}

// BenchmarkChoose measures the choice of an engine by the number of engines.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{6, 12, 19, 24, 48} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			s, r := newChoice(engines)
			b.ReportAllocs()
			for b.Loop() {
				s.choose(time.Unix(1, 0), r)
			}
		})
	}
}
