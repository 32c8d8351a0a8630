package lint

import (
	"slices"
	"strings"

	"github.com/cicadamill/cicadamill/internal/gate/plan"
)

// nameProblems finds entries without a name or with that of an earlier entry.
func nameProblems(count int, place func(i int) Place) []Finding {
	var found []Finding
	first := make(map[string]Place, count)
	for i := range count {
		p := place(i)
		earlier, twice := first[p.Name]
		switch {
		case p.Name == "":
			found = append(found, Finding{p.at(Name), Missing{}})
		case twice:
			found = append(found, Finding{p.at(Name), SameName{First: earlier}})
		default:
			first[p.Name] = p
		}
	}
	return found
}

func checkRouteNames(d plan.Draft) []Finding {
	return nameProblems(len(d.Routes), func(i int) Place { return routePlace(d, i) })
}

// hiddenBy returns, by the index of each route that gets no requests since an earlier one
// has the same host and prefix, the index of that one.
func hiddenBy(d plan.Draft) map[int]int {
	type match struct{ host, prefix string }
	first, hidden := map[match]int{}, map[int]int{}
	for i, r := range d.Routes {
		m := match{r.Host, r.Prefix}
		if by, ok := first[m]; ok {
			hidden[i] = by
			continue
		}
		first[m] = i
	}
	return hidden
}

// checkMatches finds routes that no request matches.
func checkMatches(d plan.Draft) []Finding {
	var found []Finding
	hidden := hiddenBy(d)
	for i, r := range d.Routes {
		place := routePlace(d, i)
		if by, ok := hidden[i]; ok {
			found = append(found, Finding{place, Hidden{By: routePlace(d, by)}})
		}
		switch {
		case r.Host == "":
			found = append(found, Finding{place.at(Host), Missing{}})
		case strings.ContainsAny(r.Host, "/ "):
			found = append(found, Finding{place.at(Host), NeverMatches{r.Host, "a host has no slash or space"}})
		}
		if p, ok := prefixProblem(r.Prefix); ok {
			found = append(found, Finding{place.at(Prefix), p})
		}
	}
	return found
}

func prefixProblem(prefix string) (Problem, bool) {
	switch {
	case prefix == "":
		return Missing{}, true
	case !strings.HasPrefix(prefix, "/"):
		return NeverMatches{prefix, "paths begin with a slash"}, true
	case strings.ContainsAny(prefix, "?# "):
		return NeverMatches{prefix, "only the path before the query is compared, and it has no # or space"}, true
	case !strings.HasSuffix(prefix, "/"):
		return MatchesMore{prefix}, true
	default:
		return nil, false
	}
}

// checkTargets finds routes to services that don't exist.
func checkTargets(d plan.Draft) []Finding {
	services, stores := map[string]bool{}, map[string]bool{}
	for _, s := range d.Services {
		if s.Store != nil {
			stores[s.Store.Name] = true
			continue
		}
		services[s.Service.Name] = true
	}
	var found []Finding
	for i, r := range d.Routes {
		// Without a split, a service without a name gets the requests.
		if len(r.Splits) == 0 && !services[""] {
			found = append(found, Finding{routePlace(d, i), NoService{}})
		}
		if r.HasService && len(r.Splits) > 1 {
			found = append(found, Finding{routePlace(d, i).at(OneService), BesideSplits{r.Splits[0].Service}})
		}
		for j, s := range r.Splits {
			if !services[s.Service] {
				found = append(found, Finding{splitPlace(d, i, j, false), UnknownService{Service: s.Service, IsStore: stores[s.Service]}})
			}
		}
	}
	return found
}

// shares reports which splits of a route get requests. With a negative weight, which
// makes the shares depend on the order, it assumes that all do.
func shares(r plan.Route) []bool {
	some := make([]bool, len(r.Splits))
	sum := 0
	for i, s := range r.Splits {
		if s.Weight < 0 {
			return slices.Repeat([]bool{true}, len(r.Splits))
		}
		some[i], sum = s.Weight > 0, sum+s.Weight
	}
	if sum == 0 && len(some) > 0 {
		some[len(some)-1] = true
	}
	return some
}

// checkWeights finds splits that get no requests.
func checkWeights(d plan.Draft) []Finding {
	var found []Finding
	for i, r := range d.Routes {
		positive := false
		for j, s := range r.Splits {
			positive = positive || s.Weight > 0
			if s.Weight < 0 {
				found = append(found, Finding{splitPlace(d, i, j, true), Negative{s.Weight}})
			}
		}
		some := shares(r.Route)
		if !positive && len(some) > 1 && slices.Contains(some, false) {
			found = append(found, Finding{routePlace(d, i).at(Splits), NoWeights{r.Splits[len(r.Splits)-1].Service}})
			continue
		}
		for j, gets := range some {
			if !gets {
				found = append(found, Finding{splitPlace(d, i, j, true), NoShare{}})
			}
		}
	}
	return found
}

// checkTimes finds times of routes that contradict each other.
func checkTimes(d plan.Draft) []Finding {
	var found []Finding
	for i, r := range d.Routes {
		place := routePlace(d, i)
		switch {
		case r.Timeout < 0:
			found = append(found, Finding{place.at(Timeout), Negative{r.Timeout}})
		case r.Timeout > 0 && r.Timeout < r.Objective:
			found = append(found, Finding{place.at(Timeout), Below{Value: r.Timeout, Field: Objective, Other: r.Objective}})
		}
		switch {
		case r.Objective < 0:
			found = append(found, Finding{place.at(Objective), Negative{r.Objective}})
		case r.Objective == 0:
			found = append(found, Finding{place.at(Objective), NoObjective{}})
		}
	}
	return found
}

// checkPauses finds longest pauses that can't be kept or have no effect.
func checkPauses(d plan.Draft) []Finding {
	var found []Finding
	for i, r := range d.Routes {
		place := routePlace(d, i).at(LongestPause)
		switch {
		case r.LongestPause < 0:
			found = append(found, Finding{place, Negative{r.LongestPause}})
		case r.LongestPause > 0 && r.Kind != plan.Stream && r.Kind != plan.UnknownKind:
			found = append(found, Finding{place, NoPauses{r.Kind}})
		case r.Timeout > 0 && r.Timeout < r.LongestPause:
			found = append(found, Finding{place.at(Timeout), Below{Value: r.Timeout, Field: LongestPause, Other: r.LongestPause}})
		}
	}
	return found
}

// checkAttempts finds settings of retries that the kind of a route rules out.
func checkAttempts(d plan.Draft) []Finding {
	var found []Finding
	for i, r := range d.Routes {
		place := routePlace(d, i)
		switch {
		case r.Attempts < 0:
			found = append(found, Finding{place.at(Attempts), Negative{r.Attempts}})
		case r.Attempts > 1 && !r.Idempotent() && r.Kind != plan.UnknownKind:
			found = append(found, Finding{place.at(Attempts), NotRepeated{Attempts: r.Attempts, Kind: r.Kind}})
		}
		if r.Resumable && r.Kind != plan.Stream && r.Kind != plan.UnknownKind {
			found = append(found, Finding{place.at(Resumable), NotResumable{r.Kind}})
		}
	}
	return found
}

// lastServices returns the index of the service that counts for each name.
func lastServices(d plan.Draft) map[string]int {
	last := map[string]int{}
	for i, s := range d.Services {
		if s.Store == nil {
			last[s.Service.Name] = i
		}
	}
	return last
}

// checkServices finds services and stores that are replaced or contradict themselves.
func checkServices(d plan.Draft) []Finding {
	found := nameProblems(len(d.Services), func(i int) Place { return servicePlace(d, i) })
	last := lastServices(d)
	for i, s := range d.Services {
		if s.Store != nil {
			continue
		}
		place := servicePlace(d, i)
		if by := last[s.Service.Name]; by != i {
			found = append(found, Finding{place, Replaced{By: servicePlace(d, by)}})
		}
		if s.Service.MaxConns < 0 {
			found = append(found, Finding{place.at(MaxConns), Negative{s.Service.MaxConns}})
		}
		found = append(found, engineProblems(place, s.Service)...)
	}
	return found
}

func engineProblems(place Place, s plan.Service) []Finding {
	if s.Engines == nil {
		return nil
	}
	var found []Finding
	if s.MaxConns > 0 && s.MaxConns < s.Engines.Slots {
		found = append(found, Finding{place.at(MaxConns), Below{Value: s.MaxConns, Field: Slots, Other: s.Engines.Slots}})
	}
	if len(s.Engines.Models) == 0 {
		found = append(found, Finding{place.at(Engines), NoModels{}})
	}
	seen := map[string]bool{}
	for j, model := range s.Engines.Models {
		if seen[model] {
			found = append(found, Finding{place.item(Models, j), Repeated{}})
		}
		seen[model] = true
	}
	return found
}

// usedServices returns the names of the services that get requests from some route.
func usedServices(d plan.Draft) map[string]bool {
	used, hidden := map[string]bool{}, hiddenBy(d)
	for i, r := range d.Routes {
		if _, ok := hidden[i]; ok {
			continue
		}
		if len(r.Splits) == 0 {
			used[""] = true
		}
		for j, gets := range shares(r.Route) {
			if gets {
				used[r.Splits[j].Service] = true
			}
		}
	}
	return used
}

// checkUse finds services and models that get no requests.
func checkUse(d plan.Draft) []Finding {
	var found []Finding
	used, last := usedServices(d), lastServices(d)
	counts := func(i int) bool { return d.Services[i].Store == nil && last[d.Services[i].Service.Name] == i }
	models := map[string]bool{}
	for i, s := range d.Services {
		if counts(i) && used[s.Service.Name] && s.Service.Engines != nil {
			for _, model := range s.Service.Engines.Models {
				models[model] = true
			}
		}
	}
	for i, s := range d.Services {
		if !counts(i) || used[s.Service.Name] {
			continue
		}
		found = append(found, Finding{servicePlace(d, i), Unused{}})
		if s.Service.Engines == nil {
			continue
		}
		for j, model := range s.Service.Engines.Models {
			if !models[model] {
				found = append(found, Finding{servicePlace(d, i).item(Models, j), Unused{}})
			}
		}
	}
	return found
}

func checkWorkspaces(d plan.Draft) []Finding {
	found := nameProblems(len(d.Workspaces), func(i int) Place { return workspacePlace(d, i) })
	for i, w := range d.Workspaces {
		if len(w.Keys) == 0 {
			found = append(found, Finding{workspacePlace(d, i).at(Keys), NoKeys{}})
		}
	}
	return found
}

// checkKeys finds API keys that belong to several workspaces or to every client. Findings
// don't hold the keys, so that they may be printed.
func checkKeys(d plan.Draft) []Finding {
	var found []Finding
	last := map[string]Place{}
	for i, w := range d.Workspaces {
		for j, key := range w.Keys {
			last[key] = workspacePlace(d, i).item(Keys, j)
		}
	}
	for i, w := range d.Workspaces {
		for j, key := range w.Keys {
			place := workspacePlace(d, i).item(Keys, j)
			if key == "" {
				found = append(found, Finding{place, EmptyKey{}})
			}
			switch by := last[key]; {
			case by.Index != i:
				found = append(found, Finding{place, Replaced{By: by}})
			case by.Item != j:
				found = append(found, Finding{place, Repeated{}})
			}
		}
	}
	return found
}

// checkRanks finds priorities that are no ranks.
func checkRanks(d plan.Draft) []Finding {
	var found []Finding
	add := func(place Place, rank int) {
		if rank < 0 || rank > plan.LowestRank {
			found = append(found, Finding{place.at(Priority), UnknownRank{rank}})
		}
	}
	for i, r := range d.Routes {
		add(routePlace(d, i), r.Priority)
	}
	for i, w := range d.Workspaces {
		if w.HasPriority {
			add(workspacePlace(d, i), w.Priority)
		}
	}
	return found
}

// checkLimits finds negative limits of what a client may send.
func checkLimits(d plan.Draft) []Finding {
	var found []Finding
	for _, f := range limitFields {
		if value := f.value(d.Limits); isNegative(value) {
			found = append(found, Finding{Place{Field: f.field}, Negative{value}})
		}
	}
	return found
}
