package group

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/route/place"
)

// pool is a set of engines that can stand in for each other: they serve one
// model and are linked by the applications that they answer.
type pool struct {
	name       string
	region     string
	dataCentre string
}

func split(config site.Config, regions map[string]string) []Cell {
	applications := answered(config)
	names := linked(config)
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

// divide assigns the engines of a pool to its cells by rendezvous hashing.
func divide(p pool, engines []site.Engine, applications map[string][]string) []Cell {
	cells := make([]Cell, slots(len(engines)))
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
		c.Capacity += positive(e.Capacity)
	}
	for i := range cells {
		slices.Sort(cells[i].Engines)
		slices.Sort(cells[i].Applications)
		cells[i].Applications = slices.Compact(cells[i].Applications)
	}
	return slices.DeleteFunc(cells, func(c Cell) bool { return len(c.Engines) == 0 })
}

// answered lists the applications of each engine.
func answered(config site.Config) map[string][]string {
	applications := map[string][]string{}
	for _, a := range config.Applications {
		for _, engine := range a.Engines {
			applications[engine] = append(applications[engine], a.Name)
		}
	}
	return applications
}

// linked names each engine's pool after the first, in order, of the
// applications that are linked to it by shared engines.
func linked(config site.Config) map[string]string {
	parent := map[string]string{}
	var root func(name string) string
	root = func(name string) string {
		up, ok := parent[name]
		if !ok || up == name {
			return name
		}
		parent[name] = root(up)
		return parent[name]
	}
	applications := answered(config)
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
