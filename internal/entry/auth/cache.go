package auth

import (
	"sync/atomic"

	"github.com/cicadamill/cicadamill/internal/config/site"
)

// Cache keeps the keys of the configuration in force, so that they are gathered
// once for each list of workspaces and not for each request. Its zero value is
// ready for use.
//
//	workspace, ok := cache.Of(config).Workspace(request.Header)
type Cache struct {
	current atomic.Pointer[cached]
}

type cached struct {
	first *site.Workspace
	count int
	keys  Keys
}

// Of returns the keys of a configuration. Configurations never change after
// parsing, so one list of workspaces always has the same keys.
func (c *Cache) Of(config site.Config) Keys {
	if len(config.Workspaces) == 0 {
		return Keys{}
	}
	first, count := &config.Workspaces[0], len(config.Workspaces)
	current := c.current.Load()
	if current != nil && current.first == first && current.count == count {
		return current.keys
	}
	next := &cached{first: first, count: count, keys: New(config)}
	c.current.Store(next)
	return next.keys
}
