package trace_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/tool/trace"
)

func TestLoads(t *testing.T) {
	for i, load := range trace.Loads(trace.Kochi(), 1) {
		t.Run(load.Name, func(t *testing.T) {
			assert.Equal(t, trace.Names()[i], load.Name)
			owners := map[uint64]string{}
			for i, r := range load.Requests {
				if i > 0 {
					assert.LessOrEqual(t, load.Requests[i-1].At, r.At)
				}
				assert.Len(t, r.Job.Blocks, r.Job.PromptTokens/trace.BlockTokens)
				for _, block := range r.Job.Blocks {
					owner := r.Job.Workspace + "/" + r.Job.Application
					if owners[block] == "" {
						owners[block] = owner
					}
					assert.Equal(t, owner, owners[block], "a block must not be shared between workspaces or applications")
				}
			}
		})
	}
}

func TestSeedDecidesTheLoad(t *testing.T) {
	assert.Equal(t, trace.Loads(trace.Ashaiman(), 3)[0].Requests, trace.Loads(trace.Ashaiman(), 3)[0].Requests)
	assert.NotEqual(t, trace.Loads(trace.Ashaiman(), 3)[0].Requests, trace.Loads(trace.Ashaiman(), 4)[0].Requests)
}

func TestSmallWorkspacesAskTheSameBesideAFlood(t *testing.T) {
	flood, alone := trace.Loads(trace.Ashaiman(), 1)[8], trace.Loads(trace.Ashaiman(), 1)[9]
	var beside []trace.Request
	for _, r := range flood.Requests {
		if r.Job.Workspace != "workspace-1" {
			beside = append(beside, r)
		}
	}
	assert.Len(t, beside, len(alone.Requests))
	for i := range beside {
		assert.Equal(t, alone.Requests[i].At, beside[i].At)
		assert.Equal(t, alone.Requests[i].Job.Blocks, beside[i].Job.Blocks)
	}
}
