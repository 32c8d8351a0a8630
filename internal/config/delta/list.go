package delta

import (
	"reflect"
	"slices"
	"strings"

	"github.com/cicadamill/cicadamill/internal/config/site"
)

// diffList compares two lists that are sorted by name.
func diffList[T any](before, after []T, name func(T) string) ListChange[T] {
	var p ListChange[T]
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

// patch returns the result of a change to a list. An unchanged list is returned as it
// is, not copied.
func patch[T any](before []T, p ListChange[T], name func(T) string) []T {
	if len(p.Set) == 0 && len(p.Remove) == 0 {
		return before
	}
	replaced := make(map[string]bool, len(p.Set)+len(p.Remove))
	for _, removed := range p.Remove {
		replaced[removed] = true
	}
	for _, entry := range p.Set {
		replaced[name(entry)] = true
	}
	after := make([]T, 0, len(before)+len(p.Set))
	for _, entry := range before {
		if !replaced[name(entry)] {
			after = append(after, entry)
		}
	}
	after = append(after, p.Set...)
	if len(after) == 0 {
		return nil // Sort returns nil for an empty list, and the digests must agree.
	}
	slices.SortFunc(after, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return after
}

// compactLists moves applications in which only the engines changed from
// Applications to EngineLists.
func (c *Change) compactLists(before []site.Application) {
	applications := c.Applications.Set
	c.Applications.Set = nil
	for _, after := range applications {
		at := slices.IndexFunc(before, func(a site.Application) bool { return a.Name == after.Name })
		if at < 0 || !equalExceptEngines(before[at], after) {
			c.Applications.Set = append(c.Applications.Set, after)
			continue
		}
		c.EngineLists = append(c.EngineLists, EnginesChange{
			Application: after.Name,
			Add:         without(after.Engines, before[at].Engines),
			Remove:      without(before[at].Engines, after.Engines),
		})
	}
}

// expandLists reverses compactLists.
func (c Change) expandLists(before []site.Application) ListChange[site.Application] {
	applications := ListChange[site.Application]{Set: slices.Clone(c.Applications.Set), Remove: c.Applications.Remove}
	for _, list := range c.EngineLists {
		at := slices.IndexFunc(before, func(a site.Application) bool { return a.Name == list.Application })
		if at < 0 {
			continue // The result then fails the check of the digest.
		}
		application := before[at]
		kept := without(application.Engines, list.Remove)
		application.Engines = slices.Sorted(slices.Values(append(kept, list.Add...)))
		applications.Set = append(applications.Set, application)
	}
	return applications
}

func equalExceptEngines(a, b site.Application) bool {
	a.Engines, b.Engines = nil, nil
	return reflect.DeepEqual(a, b)
}

// without returns the names in list that are not in removed.
func without(list, removed []string) []string {
	set := make(map[string]bool, len(removed))
	for _, name := range removed {
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
