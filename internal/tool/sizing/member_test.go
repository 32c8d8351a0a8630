package sizing_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/fleet/member"
	"github.com/cicadamill/cicadamill/internal/peer/note"
)

// BenchmarkMember reports the memory that a node uses for each other node and
// the encoded size of a member entry.
func BenchmarkMember(b *testing.B) {
	const nodes = 480
	now := time.Unix(1_000_000, 0)
	before := heapBytes()
	state := member.New(member.Options{Name: "node-000", Address: "10.0.0.1:7000", DataCentre: "dc-0", Incarnation: 1, Seed: 1})
	bytes := 0
	for i := 1; i < nodes; i++ {
		entry := note.Entry{
			Name: fmt.Sprintf("node-%03d", i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), DataCentre: "dc-0",
			Incarnation: 1_796_000_000_000, State: note.Alive, Version: 123_456,
		}
		encoded, err := json.Marshal(entry)
		require.NoError(b, err)
		bytes += len(encoded)
		state, _ = state.Update(now, member.Received{Note: note.Note{From: entry}})
	}
	for b.Loop() {
		state, _ = state.Update(now, member.Tick{})
	}
	b.ReportMetric(float64(heapBytes()-before)/nodes, "state-B/node")
	b.ReportMetric(float64(bytes)/(nodes-1), "entry-B")
	runtime.KeepAlive(state)
}
