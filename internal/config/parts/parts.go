// Package parts reads a configuration text that differs little from the one
// before: it decodes only the elements that are new and takes the others over.
//
// It exists because a large site's text takes much longer to read than the one
// changed line in it, and 16,000 changes come in a day. It does not repeat the
// checks of meaning; it is for texts that were accepted when submitted.
package parts

import (
	"github.com/zeebo/xxh3"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/config/text"
)

// Cache remembers the elements of the text that was read last. It is not safe
// for concurrent use.
type Cache struct {
	regions      list[site.Region]
	models       list[site.Model]
	engines      list[site.Engine]
	applications list[site.Application]
	services     list[site.Service]
	workspaces   list[site.Workspace]
	decoded      int
	reused       int
}

// window is how many elements of the text before are searched for one that
// does not stand where it stood.
const window = 64

// list holds the decoded elements of one array with the hashes of their text,
// in the order of the text.
type list[T any] struct {
	hashes []xxh3.Uint128
	values []T
}

// find returns the place of an element at or soon after from.
func (l *list[T]) find(hash xxh3.Uint128, from int) (int, bool) {
	for at := from; at < min(from+window, len(l.hashes)); at++ {
		if l.hashes[at] == hash {
			return at, true
		}
	}
	return 0, false
}

// New returns a cache that knows no text yet.
//
//	cache := parts.New()
//	config, err := cache.Parse(accepted)
func New() *Cache { return &Cache{} }

// Counts returns how many elements were decoded and how many taken over so far.
func (c *Cache) Counts() (decoded, reused int) { return c.decoded, c.reused }

// Parse reads a text. Its result equals that of [site.Parse]. A text that it
// can't follow is read by [site.Parse], whose error then tells what is wrong.
func (c *Cache) Parse(source []byte) (site.Config, error) {
	members, ok := scan(source)
	if !ok {
		return site.Parse(source)
	}
	var config site.Config
	seen := map[string]bool{}
	for _, m := range members {
		if seen[m.name] || !c.read(source, m, &config) {
			return site.Parse(source)
		}
		seen[m.name] = true
	}
	return config, nil
}

// read decodes one field of the top-level object.
func (c *Cache) read(source []byte, m member, config *site.Config) bool {
	switch m.name {
	case "regions":
		return take(c, &c.regions, source, m, &config.Regions)
	case "models":
		return take(c, &c.models, source, m, &config.Models)
	case "engines":
		return take(c, &c.engines, source, m, &config.Engines)
	case "applications":
		return take(c, &c.applications, source, m, &config.Applications)
	case "services":
		return take(c, &c.services, source, m, &config.Services)
	case "workspaces":
		return take(c, &c.workspaces, source, m, &config.Workspaces)
	default:
		return c.small(source, m, config)
	}
}

// small decodes a field that is no list of elements, as a text of its own.
func (c *Cache) small(source []byte, m member, config *site.Config) bool {
	alone := append([]byte(`{"`+m.name+`":`), source[m.value.from:m.value.to]...)
	c.decoded++
	return text.Read("configuration", append(alone, '}'), config).Err() == nil
}

// take decodes the elements of an array, or takes them over from the text
// before.
func take[T any](c *Cache, l *list[T], source []byte, m member, into *[]T) bool {
	if !m.array {
		return false
	}
	next := list[T]{hashes: make([]xxh3.Uint128, len(m.items)), values: make([]T, len(m.items))}
	from := 0
	for i, item := range m.items {
		piece := source[item.from:item.to]
		next.hashes[i] = xxh3.Hash128(piece)
		at, ok := l.find(next.hashes[i], from)
		if ok {
			c.reused++
			next.values[i] = l.values[at]
			from = at + 1
			continue
		}
		if next.values[i], ok = decode[T](c, piece); !ok {
			return false
		}
	}
	*l = next
	*into = next.values
	return true
}

func decode[T any](c *Cache, piece []byte) (T, bool) {
	var value T
	c.decoded++
	err := text.Read("configuration", piece, &value).Err()
	return value, err == nil
}
