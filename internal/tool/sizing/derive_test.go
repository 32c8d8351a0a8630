package sizing_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/entry/auth"
	"github.com/cicadamill/cicadamill/internal/fleet/homes"
	"github.com/cicadamill/cicadamill/internal/route/group"
	"github.com/cicadamill/cicadamill/internal/tool/sizing"
)

// largeConfig returns a configuration of a fleet's size, with every model in
// every data centre and one application for each model.
func largeConfig(fleet sizing.Fleet) site.Config {
	config := site.Config{Site: "large"}
	for i := range int(fleet.Regions) {
		config.Regions = append(config.Regions, site.Region{Name: fmt.Sprintf("region-%d", i)})
	}
	for i := range int(fleet.DataCentres) {
		region := &config.Regions[i%int(fleet.Regions)]
		region.DataCentres = append(region.DataCentres, fmt.Sprintf("dc-%d", i))
	}
	for i := range int(fleet.Models) {
		config.Models = append(config.Models, site.Model{Name: fmt.Sprintf("model-%d", i), WeightVersion: "1", BlockTokens: 2000})
		config.Applications = append(config.Applications, site.Application{Name: fmt.Sprintf("app-%d", i), Model: config.Models[i].Name})
	}
	for i := range int(fleet.Engines) {
		model := i % int(fleet.Models)
		name := fmt.Sprintf("engine-%05d", i)
		config.Engines = append(config.Engines, site.Engine{
			Name: name, Address: fmt.Sprintf("10.%d.%d.%d:8000", i%9, i/9/250, i/9%250+1),
			DataCentre: fmt.Sprintf("dc-%d", i/int(fleet.Models)%int(fleet.DataCentres)), Model: config.Models[model].Name, CacheBlocks: 100_000,
		})
		config.Applications[model].Engines = append(config.Applications[model].Engines, name)
	}
	for i := range int(fleet.Workspaces) {
		config.Workspaces = append(config.Workspaces, site.Workspace{
			Name: fmt.Sprintf("workspace-%04d", i), Share: float64(1 + i%5), KeyHashes: []string{auth.Hash(fmt.Sprint(i))},
			Applications: []string{config.Applications[i%int(fleet.Models)].Name},
		})
	}
	return config
}

// BenchmarkDerive measures the time and memory to compute the state that a node
// derives from a changed configuration.
func BenchmarkDerive(b *testing.B) {
	config := largeConfig(sizing.TwoYears())
	b.Run("groups", func(b *testing.B) {
		before := heapBytes()
		var kept group.Partition
		for b.Loop() {
			kept = group.New(config)
		}
		b.ReportMetric(float64(heapBytes()-before), "kept-B")
		runtime.KeepAlive(kept)
	})
	b.Run("shares", func(b *testing.B) {
		groups := group.New(config)
		for b.Loop() {
			groups = groups.Update(config)
		}
	})
	b.Run("keys", func(b *testing.B) {
		before := heapBytes()
		var kept auth.Keys
		for b.Loop() {
			kept = auth.New(config)
		}
		b.ReportMetric(float64(heapBytes()-before), "kept-B")
		runtime.KeepAlive(kept)
	})
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkHomes reports how evenly the cells of the planned fleet are spread
// over the nodes, and the time to rank the homes of one cell.
func BenchmarkHomes(b *testing.B) {
	fleet := sizing.TwoYears()
	cells := group.New(largeConfig(fleet)).Cells()
	nodes := make([]homes.Node, int(fleet.Nodes))
	for i := range nodes {
		nodes[i] = homes.Node{Name: fmt.Sprintf("node-%03d", i), DataCentre: fmt.Sprintf("dc-%d", i%int(fleet.DataCentres)), Up: true}
	}
	now := time.Unix(0, 0)
	var weighted []homes.Cell
	for _, cell := range cells {
		weighted = append(weighted, homes.Cell{ID: cell.ID, DataCentre: cell.DataCentre, Weight: float64(len(cell.Engines))})
	}
	state := homes.New().Update(now, nodes)
	start := time.Now()
	state = state.Balance(now, weighted)
	balanceTime := time.Since(start)
	cellsOf, enginesOf := map[string]int{}, map[string]int{}
	for _, cell := range cells {
		home := state.Rank(now, cell.ID, cell.DataCentre, 1)[0]
		cellsOf[home]++
		enginesOf[home] += len(cell.Engines)
	}
	for b.Loop() {
		state.Rank(now, cells[0].ID, cells[0].DataCentre, 2)
	}
	b.ReportMetric(float64(balanceTime.Nanoseconds()), "balance-ns")
	mean := fleet.Engines / fleet.Nodes
	b.ReportMetric(float64(highest(enginesOf))/mean, "most/mean")
	b.ReportMetric(float64(len(cells)), "cells")
	b.ReportMetric(float64(highest(cellsOf)), "most-cells/node")
	b.ReportMetric(float64(highest(enginesOf)), "most-engines/node")
	b.ReportMetric(float64(len(cellsOf)), "nodes-with-cells")
}

func highest(counts map[string]int) int {
	maximum := 0
	for _, count := range counts {
		maximum = max(maximum, count)
	}
	return maximum
}
