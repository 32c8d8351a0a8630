package group_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/route/group"
	"github.com/cicadamill/cicadamill/internal/route/job"
)

// newConfig returns a configuration with engines spread evenly over data centres.
func newConfig(engines, dataCentres int) site.Config {
	config := site.Config{Regions: []site.Region{{Name: "east"}}, Applications: []site.Application{{Name: "assistant"}}}
	for i := range dataCentres {
		config.Regions[0].DataCentres = append(config.Regions[0].DataCentres, fmt.Sprintf("dc-%d", i))
	}
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i)
		config.Engines = append(config.Engines, site.Engine{Name: name, DataCentre: fmt.Sprintf("dc-%d", i%dataCentres)})
		config.Applications[0].Engines = append(config.Applications[0].Engines, name)
	}
	for i := range 8 {
		config.Workspaces = append(config.Workspaces, site.Workspace{Name: fmt.Sprintf("w%d", i), Share: float64(1 + i), Applications: []string{"assistant"}})
	}
	return config
}

func cellsByEngine(g group.Partition) map[string]string {
	of := map[string]string{}
	for _, cell := range g.Cells() {
		for _, engine := range cell.Engines {
			of[engine] = cell.ID
		}
	}
	return of
}

func TestCells(t *testing.T) {
	tests := map[string]struct {
		config site.Config
		cells  int
	}{
		"small site pools its data centres": {newConfig(9, 4), 1},
		"large data centres have own cells": {newConfig(96, 3), 6},
		"no engines":                        {site.Config{}, 0},
		"planned size of a data centre":     {newConfig(1222, 1), 64},
		"engines without application":       {site.Config{Engines: []site.Engine{{Name: "e"}}}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Len(t, group.New(test.config).Cells(), test.cells)
		})
	}
}

func TestSharedEnginesLinkApplications(t *testing.T) {
	config := newConfig(9, 1)
	config.Applications = append(config.Applications,
		site.Application{Name: "orders", Engines: []string{"engine-0", "engine-1"}},
		site.Application{Name: "claims", Engines: []string{"other"}})
	config.Engines = append(config.Engines, site.Engine{Name: "other"})
	cells := group.New(config).Cells()
	require.Len(t, cells, 2)
	assert.Equal(t, []string{"assistant", "orders"}, cells[0].Applications)
	assert.Equal(t, []string{"other"}, cells[1].Engines)
}

func TestRemovedEngineMovesNoOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := newConfig(rapid.IntRange(65, 120).Draw(t, "engines"), 1)
		before := cellsByEngine(group.New(config))
		gone := rapid.IntRange(0, len(config.Engines)-1).Draw(t, "gone")
		config.Engines = append(config.Engines[:gone:gone], config.Engines[gone+1:]...)
		for engine, cell := range cellsByEngine(group.New(config)) {
			assert.Equal(t, before[engine], cell)
		}
	})
}

func TestCandidatesHoldEveryCellOnceAndOwnCellsFirst(t *testing.T) {
	g := group.New(newConfig(600, 2))
	first := map[string]bool{}
	for i := range 500 {
		j := job.Job{Workspace: "w0", Application: "assistant", Blocks: []uint64{1, 2, 3, uint64(i)}}
		ids := g.Candidates(j)
		assert.Len(t, ids, len(g.Cells()))
		seen := map[string]bool{}
		for _, id := range ids {
			assert.False(t, seen[id])
			seen[id] = true
		}
		first[ids[0]] = true
	}
	// A share of 1/36 of 32 cells, times the spread factor of 2, rounds to one cell.
	assert.Len(t, first, 1)
}

func TestNearPutsOwnDataCentreFirst(t *testing.T) {
	g := group.New(newConfig(600, 2))
	ids := g.CandidatesNear(job.Job{Workspace: "w7", Application: "assistant", Blocks: []uint64{9}}, "dc-1")
	require.Len(t, ids, len(g.Cells()))
	for _, cell := range g.Cells() {
		if cell.ID == ids[0] {
			assert.Equal(t, "dc-1", cell.DataCentre)
		}
	}
}

func TestFirstIsTheFirstOfNear(t *testing.T) {
	g := group.New(newConfig(600, 2))
	for i := range uint64(200) {
		j := job.Job{Workspace: fmt.Sprintf("w%d", i%8), Application: "assistant", Blocks: []uint64{i, i + 1, i + 2, i + 3, i + 4}}
		for range 2 {
			assert.Equal(t, g.CandidatesNear(j, "dc-1")[0], g.Nearest(j, "dc-1"))
		}
	}
	assert.Empty(t, g.Nearest(job.Job{Application: "unknown"}, "dc-1"))
}

func ExamplePartition_Candidates() {
	groups := group.New(newConfig(9, 4))
	fmt.Println(groups.Candidates(job.Job{Workspace: "w1", Application: "assistant"}))
	// Output: [assistant/east//0]
}
