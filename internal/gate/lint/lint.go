// Package lint checks the configuration of the gateway before it is sent, and compares
// it with another version. Hosts reject a configuration for which [Errors] returns
// anything. They apply one with [Warnings], which name entries without effect and
// limits that contradict each other.
//
// A check is a function from a [plan.Draft] to findings. To add one, list it in
// errorChecks if hosts have to reject what it finds, and in warningChecks otherwise, and
// add a variant of [Problem] for what it finds.
package lint

import (
	"github.com/cicadamill/cicadamill/internal/gate/plan"
)

// Finding is a problem in a configuration and its place.
type Finding struct {
	Place   Place
	Problem Problem
}

// Message returns the problem in one line, without its place.
func (f Finding) Message(n Names) string { return f.Problem.message(n) }

// check finds problems of one kind.
type check func(plan.Draft) []Finding

// errorChecks find what hosts reject.
var errorChecks = []check{checkVersion, checkKinds, checkWorkspaceLimits}

// warningChecks find what hosts apply although it has no effect or contradicts itself.
var warningChecks = []check{
	checkRouteNames, checkMatches, checkTargets, checkWeights, checkTimes, checkPauses, checkAttempts,
	checkServices, checkUse, checkWorkspaces, checkKeys, checkRanks, checkLimits,
}

// Errors returns the problems for which a host rejects a configuration.
func Errors(d plan.Draft) []Finding { return run(errorChecks, d) }

// Warnings returns the problems of a configuration that a host applies all the same.
func Warnings(d plan.Draft) []Finding { return run(warningChecks, d) }

// Outdated returns an error if hosts that have the configuration inForce would not apply
// d because of its version.
func Outdated(d, inForce plan.Draft) []Finding {
	old := inForce.Plan()
	if d.Version == 0 || d.Plan().Replaces(old) {
		return nil
	}
	return []Finding{{Place{Field: Version}, NotNewer{Version: d.Version, InForce: old.Version}}}
}

func run(checks []check, d plan.Draft) []Finding {
	var found []Finding
	for _, c := range checks {
		found = append(found, c(d)...)
	}
	return found
}

func routePlace(d plan.Draft, i int) Place {
	return Place{Entry: Route, Index: i, Name: d.Routes[i].Name}
}

// nameOf returns the name of a service or store.
func nameOf(s plan.ServiceDraft) string {
	if s.Store != nil {
		return s.Store.Name
	}
	return s.Service.Name
}

func servicePlace(d plan.Draft, i int) Place {
	return Place{Entry: Service, Index: i, Name: nameOf(d.Services[i])}
}

func workspacePlace(d plan.Draft, i int) Place {
	return Place{Entry: Workspace, Index: i, Name: d.Workspaces[i].Name}
}

// splitPlace returns the place of the service of a route's split, and that of its weight
// if weight is true.
func splitPlace(d plan.Draft, route, split int, weight bool) Place {
	place := routePlace(d, route)
	if d.Routes[route].HasService {
		if split == 0 {
			return place.at(OneService)
		}
		split--
	}
	if weight {
		return place.item(SplitWeight, split)
	}
	return place.item(SplitService, split)
}

func checkVersion(d plan.Draft) []Finding {
	if d.Version == 0 {
		return []Finding{{Place{Field: Version}, Missing{}}}
	}
	return nil
}

func checkKinds(d plan.Draft) []Finding {
	var found []Finding
	for i, r := range d.Routes {
		if r.Kind == plan.UnknownKind {
			found = append(found, Finding{routePlace(d, i).at(Kind), UnknownKind{}})
		}
	}
	return found
}
