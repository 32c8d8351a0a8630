package group_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/route/group"
	"github.com/cicadamill/cicadamill/internal/route/job"
)

func TestWithIsLikeNew(t *testing.T) {
	before := site.Config{
		Regions:      []site.Region{{Name: "coast", DataCentres: []string{"tema"}}},
		Engines:      []site.Engine{{Name: "e1", DataCentre: "tema", Model: "m"}, {Name: "e2", DataCentre: "tema", Model: "m"}},
		Applications: []site.Application{{Name: "ask", Model: "m", Engines: []string{"e1", "e2"}}},
		Workspaces:   []site.Workspace{{Name: "w", Share: 1, Applications: []string{"ask"}}, {Name: "v", Share: 1, Applications: []string{"ask"}}},
	}
	edits := map[string]func(*site.Config){
		"share": func(c *site.Config) {
			c.Workspaces = slices.Clone(c.Workspaces)
			c.Workspaces[0].Share = 9
		},
		"engine gone": func(c *site.Config) {
			c.Engines = c.Engines[:1]
			c.Applications = []site.Application{{Name: "ask", Model: "m", Engines: []string{"e1"}}}
		},
		"engine changed": func(c *site.Config) {
			c.Engines = slices.Clone(c.Engines)
			c.Engines[1].Capacity = 3
		},
		"all engines gone": func(c *site.Config) { c.Engines = nil },
	}
	for name, edit := range edits {
		t.Run(name, func(t *testing.T) {
			after := before
			edit(&after)
			got, want := group.New(before).Update(after), group.New(after)
			assert.Equal(t, want.Cells(), got.Cells())
			j := job.Job{Workspace: "w", Application: "ask", Fingerprint: 7}
			assert.Equal(t, want.Candidates(j), got.Candidates(j))
		})
	}
}

// BenchmarkWith measures a configuration change that touches only workspaces, at
// the fleet size planned for two years ahead.
func BenchmarkWith(b *testing.B) {
	const engines, workspaces, models, dataCentres = 11000, 2600, 6, 9
	var config site.Config
	for i := range dataCentres {
		region := site.Region{Name: fmt.Sprint("region-", i), DataCentres: []string{fmt.Sprint("dc-", i)}}
		config.Regions = append(config.Regions, region)
	}
	config.Applications = make([]site.Application, models)
	for i := range models {
		config.Applications[i] = site.Application{Name: fmt.Sprint("app-", i), Model: fmt.Sprint("model-", i)}
	}
	for i := range engines {
		name, model := fmt.Sprint("engine-", i), i%models
		config.Engines = append(config.Engines, site.Engine{Name: name, DataCentre: fmt.Sprint("dc-", i%dataCentres), Model: config.Applications[model].Model})
		config.Applications[model].Engines = append(config.Applications[model].Engines, name)
	}
	for i := range workspaces {
		config.Workspaces = append(config.Workspaces, site.Workspace{Name: fmt.Sprint("workspace-", i), Applications: []string{config.Applications[i%models].Name}})
	}
	groups := group.New(config)
	b.Run("new", func(b *testing.B) {
		for b.Loop() {
			groups = group.New(config)
		}
	})
	b.Run("with", func(b *testing.B) {
		for b.Loop() {
			groups = groups.Update(config)
		}
	})
}
