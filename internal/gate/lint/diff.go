package lint

import (
	"fmt"
	"reflect"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/plan"
)

// Change is a difference between two configurations and its place, which is in the
// earlier one if an entry was removed and in the later one otherwise.
type Change struct {
	Place  Place
	Effect Effect
}

// Message returns the difference in one line, without its place.
func (c Change) Message(n Names) string { return c.Effect.message(n) }

// Effect is what differs at a place. The variants follow.
type Effect interface {
	message(n Names) string
}

type (
	// Added means that an entry is new.
	Added struct{}
	// Removed means that an entry is gone.
	Removed struct{}
	// RouteAdded means that a route is new.
	RouteAdded struct{ Route plan.Route }
	// RouteRemoved means that a route is gone.
	RouteRemoved struct{ Route plan.Route }
	// Set means that the value of a field differs.
	Set struct{ Before, After any }
	// KeysChanged means that API keys were added or removed.
	KeysChanged struct{ Added, Removed int }
	// EnginesAdded means that a service without engines has some now.
	EnginesAdded struct{}
	// EnginesRemoved means that a service with engines has none any more.
	EnginesRemoved struct{}
	// KeysNeeded means that requests need an API key from now on, except on anonymous
	// routes, since there are workspaces.
	KeysNeeded struct{}
	// KeysNotNeeded means that requests no longer need an API key, since there are no
	// workspaces any more.
	KeysNotNeeded struct{}
)

func (Added) message(Names) string   { return "added" }
func (Removed) message(Names) string { return "removed" }

func (e RouteAdded) message(Names) string {
	return fmt.Sprintf("added: %s%s goes to %s", e.Route.Host, e.Route.Prefix, splitText(e.Route.Splits))
}

func (e RouteRemoved) message(Names) string {
	return fmt.Sprintf("removed: %s%s went to %s", e.Route.Host, e.Route.Prefix, splitText(e.Route.Splits))
}

func (e Set) message(n Names) string {
	return fmt.Sprintf("%s, before %s", text(e.After, n), text(e.Before, n))
}

func (e KeysChanged) message(Names) string {
	return fmt.Sprintf("%d added, %d removed", e.Added, e.Removed)
}

func (EnginesAdded) message(Names) string   { return "added: the service has engines from now on" }
func (EnginesRemoved) message(Names) string { return "removed: the service has no engines any more" }

func (KeysNeeded) message(Names) string {
	return "added: requests need an API key from now on, except on anonymous routes"
}

func (KeysNotNeeded) message(Names) string {
	return "all removed: requests no longer need an API key"
}

// valueOf is a field that is compared, and its value in an entry.
type valueOf[T any] struct {
	field Field
	value func(T) any
}

var limitFields = []valueOf[plan.Limits]{
	{HeaderBytes, func(l plan.Limits) any { return l.HeaderBytes }},
	{BodyBytes, func(l plan.Limits) any { return l.BodyBytes }},
	{HeaderTimeout, func(l plan.Limits) any { return l.HeaderTimeout }},
	{IdleTimeout, func(l plan.Limits) any { return l.IdleTimeout }},
}

var routeFields = []valueOf[plan.RouteDraft]{
	{Host, func(r plan.RouteDraft) any { return r.Host }},
	{Prefix, func(r plan.RouteDraft) any { return r.Prefix }},
	{Kind, func(r plan.RouteDraft) any { return r.Kind }},
	{Splits, func(r plan.RouteDraft) any { return r.Splits }},
	{Timeout, func(r plan.RouteDraft) any { return r.Timeout }},
	{Objective, func(r plan.RouteDraft) any { return r.Objective }},
	{LongestPause, func(r plan.RouteDraft) any { return r.LongestPause }},
	{Attempts, func(r plan.RouteDraft) any { return r.Attempts }},
	{Priority, func(r plan.RouteDraft) any { return r.Priority }},
	{Anonymous, func(r plan.RouteDraft) any { return r.Anonymous }},
	{Resumable, func(r plan.RouteDraft) any { return r.Resumable }},
}

var serviceFields = []valueOf[plan.Service]{
	{MaxConns, func(s plan.Service) any { return s.MaxConns }},
}

var engineFields = []valueOf[plan.Engines]{
	{Slots, func(e plan.Engines) any { return e.Slots }},
	{EngineCacheTokens, func(e plan.Engines) any { return e.CacheTokens }},
	{TokenBytes, func(e plan.Engines) any { return e.TokenBytes }},
	{EngineLinkMbps, func(e plan.Engines) any { return e.LinkMbps }},
	{Models, func(e plan.Engines) any { return e.Models }},
}

var storeFields = []valueOf[plan.Store]{
	{Address, func(s plan.Store) any { return s.Address }},
	{DataCentre, func(s plan.Store) any { return s.DataCentre }},
	{StoreCacheTokens, func(s plan.Store) any { return s.CacheTokens }},
	{StoreLinkMbps, func(s plan.Store) any { return s.LinkMbps }},
}

// noPriority is the value of a workspace's priority that is not set.
const noPriority = "none"

var workspaceFields = []valueOf[plan.WorkspaceDraft]{
	{Priority, func(w plan.WorkspaceDraft) any {
		if w.Priority < 0 {
			return rank(noPriority)
		}
		return rank(fmt.Sprint(w.Priority))
	}},
	{Rate, func(w plan.WorkspaceDraft) any { return w.Limit.Rate }},
	{Burst, func(w plan.WorkspaceDraft) any { return w.Limit.Burst }},
	{Unit, func(w plan.WorkspaceDraft) any { return unit(w.Limit.Tokens) }},
	{UncachedTokens, func(w plan.WorkspaceDraft) any { return w.Limit.UncachedTokens }},
	{Isolated, func(w plan.WorkspaceDraft) any { return w.Isolated }},
}

// rank is the priority of a workspace as text, without quotes.
type rank string

// unit is what a limit counts.
type unit bool

// String returns the unit in words.
func (u unit) String() string {
	if u {
		return "tokens"
	}
	return "requests"
}

// isNegative reports whether a number or a duration is below zero.
func isNegative(value any) bool {
	switch v := value.(type) {
	case int:
		return v < 0
	case int64:
		return v < 0
	case time.Duration:
		return v < 0
	default:
		return false
	}
}

// Compare returns the differences between a configuration and a later one. Entries are
// the same if they have the same name; of several with one name, the first corresponds
// to the first, and so on. Differences hold no API keys, so that they may be printed.
func Compare(before, after plan.Draft) []Change {
	changes := compareValues(limitFields, Place{}, before.Limits, after.Limits)
	changes = append(changes, compareRoutes(before, after)...)
	changes = append(changes, compareServices(before, after)...)
	return append(changes, compareWorkspaces(before, after)...)
}

// pair holds the indexes of an entry in two lists; -1 if it isn't there.
type pair struct{ before, after int }

// pairs matches the entries of two lists by name, first those of the later one in its
// order, then those that are only in the earlier one.
func pairs(before, after int, nameBefore, nameAfter func(i int) string) []pair {
	left := map[string][]int{}
	for i := range before {
		left[nameBefore(i)] = append(left[nameBefore(i)], i)
	}
	matched := make([]bool, before)
	all := make([]pair, 0, max(before, after))
	for i := range after {
		p := pair{before: -1, after: i}
		if same := left[nameAfter(i)]; len(same) > 0 {
			p.before, left[nameAfter(i)] = same[0], same[1:]
			matched[p.before] = true
		}
		all = append(all, p)
	}
	for i := range before {
		if !matched[i] {
			all = append(all, pair{before: i, after: -1})
		}
	}
	return all
}

func compareValues[T any](fields []valueOf[T], place Place, before, after T) []Change {
	var changes []Change
	for _, f := range fields {
		if b, a := f.value(before), f.value(after); !reflect.DeepEqual(b, a) {
			changes = append(changes, Change{place.at(f.field), Set{Before: b, After: a}})
		}
	}
	return changes
}

func compareRoutes(before, after plan.Draft) []Change {
	var changes []Change
	name := func(d plan.Draft) func(int) string { return func(i int) string { return d.Routes[i].Name } }
	for _, p := range pairs(len(before.Routes), len(after.Routes), name(before), name(after)) {
		switch {
		case p.before < 0:
			changes = append(changes, Change{routePlace(after, p.after), RouteAdded{after.Routes[p.after].Route}})
		case p.after < 0:
			changes = append(changes, Change{routePlace(before, p.before), RouteRemoved{before.Routes[p.before].Route}})
		default:
			changes = append(changes, compareValues(routeFields, routePlace(after, p.after), before.Routes[p.before], after.Routes[p.after])...)
		}
	}
	return changes
}

func compareServices(before, after plan.Draft) []Change {
	var changes []Change
	// A store and a service with the same name are different entries.
	name := func(d plan.Draft) func(int) string {
		return func(i int) string { return fmt.Sprint(d.Services[i].Store != nil, nameOf(d.Services[i])) }
	}
	for _, p := range pairs(len(before.Services), len(after.Services), name(before), name(after)) {
		switch {
		case p.before < 0:
			changes = append(changes, Change{servicePlace(after, p.after), Added{}})
		case p.after < 0:
			changes = append(changes, Change{servicePlace(before, p.before), Removed{}})
		default:
			changes = append(changes, compareService(servicePlace(after, p.after), before.Services[p.before], after.Services[p.after])...)
		}
	}
	return changes
}

func compareService(place Place, before, after plan.ServiceDraft) []Change {
	if after.Store != nil {
		return compareValues(storeFields, place, *before.Store, *after.Store)
	}
	b, a := before.Service, after.Service
	changes := compareValues(serviceFields, place, b, a)
	switch {
	case b.Engines == nil && a.Engines != nil:
		changes = append(changes, Change{place.at(Engines), EnginesAdded{}})
	case b.Engines != nil && a.Engines == nil:
		changes = append(changes, Change{place.at(Engines), EnginesRemoved{}})
	case b.Engines != nil:
		changes = append(changes, compareValues(engineFields, place, *b.Engines, *a.Engines)...)
	}
	return changes
}

func compareWorkspaces(before, after plan.Draft) []Change {
	var changes []Change
	switch had, has := len(before.Workspaces) > 0, len(after.Workspaces) > 0; {
	case had && !has:
		changes = append(changes, Change{Place{Field: Workspaces}, KeysNotNeeded{}})
	case has && !had:
		changes = append(changes, Change{Place{Field: Workspaces}, KeysNeeded{}})
	}
	name := func(d plan.Draft) func(int) string { return func(i int) string { return d.Workspaces[i].Name } }
	for _, p := range pairs(len(before.Workspaces), len(after.Workspaces), name(before), name(after)) {
		switch {
		case p.before < 0:
			changes = append(changes, Change{workspacePlace(after, p.after), Added{}})
		case p.after < 0:
			changes = append(changes, Change{workspacePlace(before, p.before), Removed{}})
		default:
			b, a, place := before.Workspaces[p.before], after.Workspaces[p.after], workspacePlace(after, p.after)
			changes = append(changes, compareValues(workspaceFields, place, b, a)...)
			if c := compareKeys(b.Keys, a.Keys); c != (KeysChanged{}) {
				changes = append(changes, Change{place.at(Keys), c})
			}
		}
	}
	return changes
}

// compareKeys counts the distinct keys that were added and removed.
func compareKeys(before, after []string) KeysChanged {
	had, has := map[string]bool{}, map[string]bool{}
	for _, key := range before {
		had[key] = true
	}
	var c KeysChanged
	for _, key := range after {
		if !had[key] && !has[key] {
			c.Added++
		}
		has[key] = true
	}
	for key := range had {
		if !has[key] {
			c.Removed++
		}
	}
	return c
}
