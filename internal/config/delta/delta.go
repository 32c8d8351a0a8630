// Package delta describes what changes between two configurations, so that
// nodes pass on a change of some hundred bytes and not a text of megabytes.
package delta

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/config/site"
)

// Change turns the configuration of version Base into that of version Version.
type Change struct {
	// Base is the version that the change applies to.
	Base uint64 `json:"base"`
	// Version is the version of the result.
	Version uint64 `json:"version"`
	// Sum is the [Sum] of the result.
	Sum string `json:"sum"`
	// Rest is everything that is not a list of named entries, when it changed.
	Rest *site.Config `json:"rest,omitempty"`
	// The lists of named entries.
	Regions      Part[site.Region]      `json:"regions,omitzero"`
	Models       Part[site.Model]       `json:"models,omitzero"`
	Engines      Part[site.Engine]      `json:"engines,omitzero"`
	Applications Part[site.Application] `json:"applications,omitzero"`
	Services     Part[site.Service]     `json:"services,omitzero"`
	Workspaces   Part[site.Workspace]   `json:"workspaces,omitzero"`
	// Lists are applications of which only the list of engines changed. These
	// lists are long and change with every engine.
	Lists []List `json:"lists,omitempty"`
}

// Part is the change of one list of named entries.
type Part[T any] struct {
	// Set are the entries that are new or different.
	Set []T `json:"set,omitempty"`
	// Remove are the names of the entries that are gone.
	Remove []string `json:"remove,omitempty"`
}

// List is the change of an application's list of engines.
type List struct {
	// Application is the application's name.
	Application string `json:"application"`
	// Add are the engines that are new to it.
	Add []string `json:"add,omitempty"`
	// Remove are the engines that are gone from it.
	Remove []string `json:"remove,omitempty"`
}

// SumError means that a change does not lead to the configuration that it
// should; the whole configuration has to be read.
type SumError struct {
	// Version is the version that the change should give.
	Version uint64
	// Want and Got are the sums.
	Want, Got string
}

// Error returns a text for logs.
func (e *SumError) Error() string {
	return fmt.Sprintf("change to version %d gives %.8s, not %.8s", e.Version, e.Got, e.Want)
}

// Between returns the change from one configuration to another. Both must be
// in the order of [Sort].
//
//	change := delta.Between(7, before, after)
//	same, err := delta.Apply(before, change)
func Between(base uint64, before, after site.Config) Change {
	c := Change{Base: base, Version: base + 1, Sum: Sum(after)}
	if rest := restOf(after); !reflect.DeepEqual(rest, restOf(before)) {
		c.Rest = &rest
	}
	c.Regions = part(before.Regions, after.Regions, regionName)
	c.Models = part(before.Models, after.Models, modelName)
	c.Engines = part(before.Engines, after.Engines, engineName)
	c.Applications = part(before.Applications, after.Applications, applicationName)
	c.Services = part(before.Services, after.Services, serviceName)
	c.Workspaces = part(before.Workspaces, after.Workspaces, workspaceName)
	c.shorten(before.Applications)
	return c
}

// Apply returns the configuration that a change makes of another one, which
// stays as it is. A result that differs from the one meant is a [*SumError].
func Apply(before site.Config, c Change) (site.Config, error) {
	after := before
	if c.Rest != nil {
		after = *c.Rest
	}
	after.Regions = patch(before.Regions, c.Regions, regionName)
	after.Models = patch(before.Models, c.Models, modelName)
	after.Engines = patch(before.Engines, c.Engines, engineName)
	after.Applications = patch(before.Applications, c.lengthen(before.Applications), applicationName)
	after.Services = patch(before.Services, c.Services, serviceName)
	after.Workspaces = patch(before.Workspaces, c.Workspaces, workspaceName)
	if got := Sum(after); got != c.Sum {
		return site.Config{}, errors.Trace(&SumError{Version: c.Version, Want: c.Sum, Got: got})
	}
	return after, nil
}

// Sort returns a configuration with every list of named entries in the order
// of names, so that two nodes that agree on the content agree on each byte.
func Sort(config site.Config) site.Config {
	config.Regions = sorted(config.Regions, regionName)
	config.Models = sorted(config.Models, modelName)
	config.Engines = sorted(config.Engines, engineName)
	config.Applications = sorted(config.Applications, applicationName)
	for i := range config.Applications {
		config.Applications[i].Engines = slices.Sorted(slices.Values(config.Applications[i].Engines))
	}
	config.Services = sorted(config.Services, serviceName)
	config.Workspaces = sorted(config.Workspaces, workspaceName)
	return config
}

// Sum returns a digest of a configuration in the order of [Sort].
func Sum(config site.Config) string {
	hash := sha256.New()
	_ = json.NewEncoder(hash).Encode(config)
	return hex.EncodeToString(hash.Sum(nil))
}

func regionName(r site.Region) string           { return r.Name }
func modelName(m site.Model) string             { return m.Name }
func engineName(e site.Engine) string           { return e.Name }
func applicationName(a site.Application) string { return a.Name }
func serviceName(s site.Service) string         { return s.Name }
func workspaceName(w site.Workspace) string     { return w.Name }

// restOf returns a configuration without its lists of named entries.
func restOf(config site.Config) site.Config {
	return site.Config{Site: config.Site, Weights: config.Weights, KVStore: config.KVStore, WeightStore: config.WeightStore}
}

func sorted[T any](list []T, name func(T) string) []T {
	return slices.SortedFunc(slices.Values(list), func(a, b T) int { return strings.Compare(name(a), name(b)) })
}
