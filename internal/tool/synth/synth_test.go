package synth_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/tool/synth"
)

func TestLoads(t *testing.T) {
	for i, load := range synth.Loads(synth.Kochi(), 1) {
		t.Run(load.Name, func(t *testing.T) {
			assert.Equal(t, synth.LoadNames()[i], load.Name)
			owners := map[uint64]string{}
			for i, r := range load.Requests {
				if i > 0 {
					assert.LessOrEqual(t, load.Requests[i-1].At, r.At)
				}
				assert.Len(t, r.Job.Blocks, r.Job.PromptTokens/synth.BlockTokens)
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
	assert.Equal(t, synth.Loads(synth.Ashaiman(), 3)[0].Requests, synth.Loads(synth.Ashaiman(), 3)[0].Requests)
	assert.NotEqual(t, synth.Loads(synth.Ashaiman(), 3)[0].Requests, synth.Loads(synth.Ashaiman(), 4)[0].Requests)
}

func TestSmallWorkspacesAskTheSameBesideAFlood(t *testing.T) {
	flood, alone := synth.Loads(synth.Ashaiman(), 1)[8], synth.Loads(synth.Ashaiman(), 1)[9]
	var beside []synth.Request
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
