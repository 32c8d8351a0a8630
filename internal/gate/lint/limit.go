package lint

import "github.com/cicadamill/cicadamill/internal/gate/plan"

// maxLimit bounds limits of workspaces, so that sums over all hosts don't overflow.
const maxLimit = 1e12

// checkWorkspaceLimits finds limits of workspaces that hosts can't keep.
func checkWorkspaceLimits(d plan.Draft) []Finding {
	var found []Finding
	first := map[string]int{}
	for i, w := range d.Workspaces {
		place := workspacePlace(d, i)
		found = append(found, limitProblems(place, w.Written)...)
		if w.UnknownUnit {
			found = append(found, Finding{place.at(Unit), UnknownUnit{}})
		}
		earlier, twice := first[w.Name]
		switch {
		case !twice:
			first[w.Name] = i
		case d.Workspaces[earlier].Limit != w.Limit:
			found = append(found, Finding{place.at(Name), OtherLimit{First: workspacePlace(d, earlier)}})
		}
	}
	return found
}

func limitProblems(place Place, l plan.Limit) []Finding {
	var found []Finding
	if l.Rate < 0 || l.Rate > maxLimit {
		found = append(found, Finding{place.at(Rate), OutOfRange{Value: l.Rate, Max: maxLimit}})
	}
	switch {
	case l.Burst < 0 || l.Burst > maxLimit:
		found = append(found, Finding{place.at(Burst), OutOfRange{Value: l.Burst, Max: maxLimit}})
	case l.Rate > 0 && l.Burst < 1:
		found = append(found, Finding{place.at(Burst), BurstBelowOne{l.Burst}})
	}
	if l.UncachedTokens < 0 {
		found = append(found, Finding{place.at(UncachedTokens), Negative{l.UncachedTokens}})
	}
	return found
}
