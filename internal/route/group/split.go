package group

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/route/place"
)

// pool identifies a set of engines that can replace each other: they serve one
// model, are linked by shared applications, and lie in one data centre or, for
// small data centres, in one region.
type pool struct {
	name       string
	region     string
	dataCentre string
}

func split(config site.Config, regions map[string]string) []Cell {
	applications := applicationsByEngine(config)
	names := poolNames(config)
	counts := map[pool]int{}
	for _, e := range config.Engines {
		if len(applications[e.Name]) > 0 {
			counts[pool{names[e.Name], regions[e.DataCentre], e.DataCentre}]++
		}
	}
	pools := map[pool][]site.Engine{}
	for _, e := range config.Engines {
		if len(applications[e.Name]) == 0 {
			continue
		}
		p := pool{names[e.Name], regions[e.DataCentre], e.DataCentre}
		if counts[p] < minEngines {
			p.dataCentre = ""
		}
		pools[p] = append(pools[p], e)
	}
	var cells []Cell
	for p, engines := range pools {
		cells = append(cells, divide(p, engines, applications)...)
	}
	slices.SortFunc(cells, func(a, b Cell) int { return cmp.Compare(a.ID, b.ID) })
	return cells
}

// divide assigns the engines of a pool to cells by rendezvous hashing. Cells
// without engines are left out.
func divide(p pool, engines []site.Engine, applications map[string][]string) []Cell {
	cells := make([]Cell, cellCount(len(engines)))
	targets := make([]place.Target, len(cells))
	for i := range cells {
		id := p.name + "/" + p.region + "/" + p.dataCentre + "/" + strconv.Itoa(i)
		cells[i] = Cell{ID: id, Region: p.region, DataCentre: p.dataCentre}
		targets[i] = place.Target{Name: id, Hash: place.Hash(id), Weight: 1}
	}
	for _, e := range engines {
		c := &cells[place.Rank(place.Hash(e.Name), targets, 1)[0]]
		c.Engines = append(c.Engines, e.Name)
		c.Applications = append(c.Applications, applications[e.Name]...)
		c.Capacity += orOne(e.Capacity)
	}
	for i := range cells {
		slices.Sort(cells[i].Engines)
		slices.Sort(cells[i].Applications)
		cells[i].Applications = slices.Compact(cells[i].Applications)
	}
	return slices.DeleteFunc(cells, func(c Cell) bool { return len(c.Engines) == 0 })
}

// applicationsByEngine returns the applications that each engine serves.
func applicationsByEngine(config site.Config) map[string][]string {
	applications := map[string][]string{}
	for _, a := range config.Applications {
		for _, engine := range a.Engines {
			applications[engine] = append(applications[engine], a.Name)
		}
	}
	return applications
}

// poolNames returns the name of each engine's pool: the alphabetically first
// application of those linked, directly or transitively, by shared engines.
func poolNames(config site.Config) map[string]string {
	parent := map[string]string{}
	var root func(name string) string
	root = func(name string) string {
		next, ok := parent[name]
		if !ok || next == name {
			return name
		}
		parent[name] = root(next)
		return parent[name]
	}
	applications := applicationsByEngine(config)
	for _, names := range applications {
		first := root(names[0])
		for _, name := range names[1:] {
			other := root(name)
			low, high := min(first, other), max(first, other)
			parent[high] = low
			first = low
		}
	}
	pools := map[string]string{}
	for engine, names := range applications {
		pools[engine] = root(names[0])
	}
	return pools
}
