package delta_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/config/delta"
	"github.com/cicadamill/cicadamill/internal/config/site"
)

// drawConfig draws a small configuration. Its references may be undefined, which
// package delta doesn't check.
func drawConfig(t *rapid.T) site.Config {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 4, rapid.ID[string])
	config := site.Config{Site: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "site")}
	for _, name := range names.Draw(t, "engines") {
		config.Engines = append(config.Engines, site.Engine{Name: name, CacheBlocks: rapid.IntRange(0, 2).Draw(t, "blocks")})
	}
	for _, name := range names.Draw(t, "applications") {
		config.Applications = append(config.Applications, site.Application{
			Name: name, MinServing: rapid.IntRange(0, 1).Draw(t, "serving"), Engines: names.Draw(t, "list"),
		})
	}
	for _, name := range names.Draw(t, "workspaces") {
		config.Workspaces = append(config.Workspaces, site.Workspace{Name: name, Share: float64(rapid.IntRange(0, 2).Draw(t, "share"))})
	}
	return delta.Sort(config)
}

func TestApplyResultsInAfter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawConfig(t), drawConfig(t)
		encoded, err := json.Marshal(delta.Diff(7, before, after))
		require.NoError(t, err)
		var change delta.Change
		require.NoError(t, json.Unmarshal(encoded, &change))
		beforeSum := delta.Sum(before)
		got, err := delta.Apply(before, change)
		require.NoError(t, err)
		assert.Equal(t, delta.Sum(after), delta.Sum(got))
		assert.Equal(t, beforeSum, delta.Sum(before))
	})
}

func TestChangeOfAnotherBaseIsRefused(t *testing.T) {
	one := delta.Sort(site.Config{Engines: []site.Engine{{Name: "a"}}})
	two := delta.Sort(site.Config{Engines: []site.Engine{{Name: "a"}, {Name: "b"}}})
	other := delta.Sort(site.Config{Engines: []site.Engine{{Name: "c"}}})
	_, err := delta.Apply(other, delta.Diff(7, one, two))
	var mismatch *delta.SumError
	require.ErrorAs(t, err, &mismatch)
	assert.EqualValues(t, 8, mismatch.Version)
}

// largeConfig returns a configuration of the size planned for two years ahead.
func largeConfig() site.Config {
	config := site.Config{Site: "large"}
	for i := range 6 {
		config.Applications = append(config.Applications, site.Application{Name: fmt.Sprintf("app-%d", i), Model: fmt.Sprintf("model-%d", i)})
	}
	for i := range 11000 {
		name := fmt.Sprintf("engine-%05d", i)
		config.Engines = append(config.Engines, site.Engine{
			Name: name, Address: fmt.Sprintf("10.%d.%d.%d:8000", i%9, i/2250, i/9%250+1),
			DataCentre: fmt.Sprintf("dc-%d", i%9), Model: fmt.Sprintf("model-%d", i%6), CacheBlocks: 100000, ChecksFence: true,
		})
		config.Applications[i%6].Engines = append(config.Applications[i%6].Engines, name)
	}
	for i := range 2600 {
		config.Workspaces = append(config.Workspaces, site.Workspace{
			Name: fmt.Sprintf("workspace-%04d", i), Share: 1, KeyHashes: []string{fmt.Sprintf("%064x", i)}, Applications: []string{fmt.Sprintf("app-%d", i%6)},
		})
	}
	return delta.Sort(config)
}

// edits returns typical changes of a configuration.
func edits() map[string]func(*site.Config) {
	return map[string]func(*site.Config){
		"share": func(c *site.Config) { c.Workspaces[7].Share = 2 },
		"key": func(c *site.Config) {
			c.Workspaces[7].KeyHashes = append(c.Workspaces[7].KeyHashes, fmt.Sprintf("%064x", 1<<40))
		},
		"new engine": func(c *site.Config) { addEngines(c, 1) },
		"new rack":   func(c *site.Config) { addEngines(c, 16) },
	}
}

func addEngines(c *site.Config, count int) {
	for i := range count {
		e := c.Engines[i]
		e.Name, e.Address = fmt.Sprintf("extra-%05d", i), fmt.Sprintf("10.99.0.%d:8000", i+1)
		c.Engines = append(c.Engines, e)
		c.Applications[0].Engines = append(c.Applications[0].Engines, e.Name)
	}
}

func applyEdit(config site.Config, edit func(*site.Config)) site.Config {
	encoded, _ := json.Marshal(config)
	var next site.Config
	_ = json.Unmarshal(encoded, &next)
	edit(&next)
	return delta.Sort(next)
}

// Load and bound on control traffic at the size planned for two years ahead.
const (
	changesPerDay     = 16000
	maxBytesPerSecond = 8000
)

func TestChangesFitTheBudget(t *testing.T) {
	before := largeConfig()
	for name, edit := range edits() {
		encoded, err := json.Marshal(delta.Diff(7, before, applyEdit(before, edit)))
		require.NoError(t, err)
		perSecond := float64(len(encoded)) * changesPerDay / (24 * 3600)
		t.Logf("%s: %d bytes a change, %.0f bytes a second", name, len(encoded), perSecond)
		assert.Less(t, perSecond, float64(maxBytesPerSecond)/2)
	}
}

// BenchmarkApply applies one change to a configuration of the size planned for two
// years ahead and checks the digest.
func BenchmarkApply(b *testing.B) {
	before := largeConfig()
	for name, edit := range edits() {
		b.Run(name, func(b *testing.B) {
			change := delta.Diff(7, before, applyEdit(before, edit))
			encoded, _ := json.Marshal(change)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := delta.Apply(before, change); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded)), "bytes/change")
		})
	}
}

// BenchmarkMemory reports the heap and JSON size of a configuration of the size
// planned for two years ahead.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	config := largeConfig()
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		runtime.KeepAlive(config)
	}
	encoded, _ := json.Marshal(config)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
	b.ReportMetric(float64(len(encoded)), "json-bytes")
}
