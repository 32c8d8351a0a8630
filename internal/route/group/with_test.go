package group_test

import (
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
			got, want := group.New(before).With(after), group.New(after)
			assert.Equal(t, want.Cells(), got.Cells())
			j := job.Job{Workspace: "w", Application: "ask", Fingerprint: 7}
			assert.Equal(t, want.Candidates(j), got.Candidates(j))
		})
	}
}

// BenchmarkWith takes over a change of workspaces at the two-year size.
func BenchmarkWith(b *testing.B) {
	config := site.Config{Regions: []site.Region{{Name: "r", DataCentres: []string{"dc"}}}}
	application := site.Application{Name: "ask", Model: "m"}
	for i := range 11000 {
		name := string(rune('a'+i%26)) + string(rune(0x4e00+i))
		config.Engines = append(config.Engines, site.Engine{Name: name, DataCentre: "dc", Model: "m"})
		application.Engines = append(application.Engines, name)
	}
	config.Applications = []site.Application{application}
	for i := range 2600 {
		config.Workspaces = append(config.Workspaces, site.Workspace{Name: string(rune(0x4e00 + i)), Applications: []string{"ask"}})
	}
	groups := group.New(config)
	b.Run("new", func(b *testing.B) {
		for b.Loop() {
			groups = group.New(config)
		}
	})
	b.Run("with", func(b *testing.B) {
		for b.Loop() {
			groups = groups.With(config)
		}
	})
}
