// Package delta computes and applies the difference between two configurations, so
// that nodes exchange changes of a few hundred bytes, not megabytes of text.
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

// Change transforms the configuration of version Base into that of version Version.
type Change struct {
	// Base is the version that the change applies to.
	Base uint64 `json:"base"`
	// Version is the version of the result.
	Version uint64 `json:"version"`
	// Sum is the digest of the result, see [Sum].
	Sum string `json:"sum"`
	// Rest holds all fields except the lists of named entries; nil if they are
	// unchanged.
	Rest *site.Config `json:"rest,omitempty"`
	// Changes of the lists of named entries.
	Regions      ListChange[site.Region]      `json:"regions,omitzero"`
	Models       ListChange[site.Model]       `json:"models,omitzero"`
	Engines      ListChange[site.Engine]      `json:"engines,omitzero"`
	Applications ListChange[site.Application] `json:"applications,omitzero"`
	Services     ListChange[site.Service]     `json:"services,omitzero"`
	Workspaces   ListChange[site.Workspace]   `json:"workspaces,omitzero"`
	// EngineLists holds the applications in which only the engines changed. An
	// application lists many engines, and each new engine changes such a list.
	EngineLists []EnginesChange `json:"lists,omitempty"`
}

// ListChange is the change of one list of named entries.
type ListChange[T any] struct {
	// Set holds the added and modified entries.
	Set []T `json:"set,omitempty"`
	// Remove holds the names of the removed entries.
	Remove []string `json:"remove,omitempty"`
}

// EnginesChange is the change of an application's list of engines.
type EnginesChange struct {
	// Application is the application's name.
	Application string `json:"application"`
	// Add holds the names of the added engines.
	Add []string `json:"add,omitempty"`
	// Remove holds the names of the removed engines.
	Remove []string `json:"remove,omitempty"`
}

// SumError means that a configuration doesn't have the expected digest. If it is the
// result of a change, the complete configuration has to be fetched instead.
type SumError struct {
	// Version is the version that the configuration should have.
	Version uint64
	// Want and Got are the expected and the actual digest.
	Want, Got string
}

func (e *SumError) Error() string {
	return fmt.Sprintf("digest of version %d is %.8s, want %.8s", e.Version, e.Got, e.Want)
}

// Diff returns the change from one configuration to the next version. Both must be
// sorted by [Sort].
//
//	change := delta.Diff(7, before, after)
//	same, err := delta.Apply(before, change)
func Diff(base uint64, before, after site.Config) Change {
	c := Change{Base: base, Version: base + 1, Sum: Sum(after)}
	if rest := restOf(after); !reflect.DeepEqual(rest, restOf(before)) {
		c.Rest = &rest
	}
	c.Regions = diffList(before.Regions, after.Regions, regionName)
	c.Models = diffList(before.Models, after.Models, modelName)
	c.Engines = diffList(before.Engines, after.Engines, engineName)
	c.Applications = diffList(before.Applications, after.Applications, applicationName)
	c.Services = diffList(before.Services, after.Services, serviceName)
	c.Workspaces = diffList(before.Workspaces, after.Workspaces, workspaceName)
	c.compactLists(before.Applications)
	return c
}

// Apply returns the result of a change without modifying before. The error is a
// [*SumError] if the digest of the result is wrong.
func Apply(before site.Config, c Change) (site.Config, error) {
	after := before
	if c.Rest != nil {
		after = *c.Rest
	}
	after.Regions = patch(before.Regions, c.Regions, regionName)
	after.Models = patch(before.Models, c.Models, modelName)
	after.Engines = patch(before.Engines, c.Engines, engineName)
	after.Applications = patch(before.Applications, c.expandLists(before.Applications), applicationName)
	after.Services = patch(before.Services, c.Services, serviceName)
	after.Workspaces = patch(before.Workspaces, c.Workspaces, workspaceName)
	if got := Sum(after); got != c.Sum {
		return site.Config{}, errors.Trace(&SumError{Version: c.Version, Want: c.Sum, Got: got})
	}
	return after, nil
}

// Sort returns a configuration with the lists of named entries sorted by name, so that
// equal configurations have the same encoding and the same digest on all nodes.
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

// Sum returns the SHA-256 digest, in hexadecimal, of a configuration sorted by [Sort].
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

// restOf returns a copy of a configuration without its lists of named entries.
func restOf(config site.Config) site.Config {
	return site.Config{Site: config.Site, Weights: config.Weights, KVStore: config.KVStore, WeightStore: config.WeightStore}
}

func sorted[T any](list []T, name func(T) string) []T {
	return slices.SortedFunc(slices.Values(list), func(a, b T) int { return strings.Compare(name(a), name(b)) })
}
