package delta

import (
	"reflect"
	"slices"
	"strings"

	"github.com/cicadamill/cicadamill/internal/config/site"
)

// part compares two lists in the order of names.
func part[T any](before, after []T, name func(T) string) Part[T] {
	var p Part[T]
	i := 0
	for _, entry := range after {
		for i < len(before) && name(before[i]) < name(entry) {
			p.Remove = append(p.Remove, name(before[i]))
			i++
		}
		if i < len(before) && name(before[i]) == name(entry) {
			if !reflect.DeepEqual(before[i], entry) {
				p.Set = append(p.Set, entry)
			}
			i++
			continue
		}
		p.Set = append(p.Set, entry)
	}
	for ; i < len(before); i++ {
		p.Remove = append(p.Remove, name(before[i]))
	}
	return p
}

// patch returns a list after a change. A list that does not change is shared.
func patch[T any](before []T, p Part[T], name func(T) string) []T {
	if len(p.Set) == 0 && len(p.Remove) == 0 {
		return before
	}
	gone := make(map[string]bool, len(p.Set)+len(p.Remove))
	for _, removed := range p.Remove {
		gone[removed] = true
	}
	for _, entry := range p.Set {
		gone[name(entry)] = true
	}
	after := make([]T, 0, len(before)+len(p.Set))
	for _, entry := range before {
		if !gone[name(entry)] {
			after = append(after, entry)
		}
	}
	after = append(after, p.Set...)
	if len(after) == 0 {
		return nil // As Sort leaves it, so that the sums agree.
	}
	slices.SortFunc(after, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return after
}

// shorten replaces applications of which only the engines changed by lists.
func (c *Change) shorten(before []site.Application) {
	whole := c.Applications.Set
	c.Applications.Set = nil
	for _, after := range whole {
		at := slices.IndexFunc(before, func(a site.Application) bool { return a.Name == after.Name })
		if at < 0 || !sameButEngines(before[at], after) {
			c.Applications.Set = append(c.Applications.Set, after)
			continue
		}
		c.Lists = append(c.Lists, List{
			Application: after.Name,
			Add:         without(after.Engines, before[at].Engines),
			Remove:      without(before[at].Engines, after.Engines),
		})
	}
}

// lengthen undoes shorten.
func (c Change) lengthen(before []site.Application) Part[site.Application] {
	whole := Part[site.Application]{Set: slices.Clone(c.Applications.Set), Remove: c.Applications.Remove}
	for _, list := range c.Lists {
		at := slices.IndexFunc(before, func(a site.Application) bool { return a.Name == list.Application })
		if at < 0 {
			continue // The sum will tell.
		}
		application := before[at]
		kept := without(application.Engines, list.Remove)
		application.Engines = slices.Sorted(slices.Values(append(kept, list.Add...)))
		whole.Set = append(whole.Set, application)
	}
	return whole
}

func sameButEngines(a, b site.Application) bool {
	a.Engines, b.Engines = nil, nil
	return reflect.DeepEqual(a, b)
}

// without returns the entries of list that are not in gone.
func without(list, gone []string) []string {
	set := make(map[string]bool, len(gone))
	for _, name := range gone {
		set[name] = true
	}
	var kept []string
	for _, name := range list {
		if !set[name] {
			kept = append(kept, name)
		}
	}
	return kept
}
