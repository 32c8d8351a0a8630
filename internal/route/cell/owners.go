package cell

import (
	"cmp"
	"math"
	"slices"

	"github.com/cicadamill/cicadamill/internal/route/place"
)

const (
	// ownerFactor is the factor by which a workspace's owners exceed its share of
	// the engines.
	ownerFactor = 1.5
	minOwners   = 2
	// maxOwnerLists bounds the cached lists of owners.
	maxOwnerLists = 8192
)

// owners determines the engines that should cache each workspace's prompts. It
// depends on the configuration alone; the lists are cached for speed.
type owners struct {
	shares map[string]float64
	total  float64
	lists  map[ownerKey][]*target
}

type ownerKey struct{ workspace, application string }

func newOwners(shares map[string]float64) owners {
	o := owners{shares: shares, lists: map[ownerKey][]*target{}}
	for _, share := range shares {
		o.total += max(share, 0)
	}
	return o
}

// forRequest returns the owners of the request's workspace, including those that
// are not usable now.
func (o owners) forRequest(s State, r *request) []*target {
	key := ownerKey{r.job.Workspace, r.job.Application}
	if list, ok := o.lists[key]; ok {
		return list
	}
	if len(o.lists) >= maxOwnerLists {
		clear(o.lists)
	}
	list := o.rank(s, r)
	if o.lists != nil {
		o.lists[key] = list
	}
	return list
}

func (o owners) rank(s State, r *request) []*target {
	var all []*target
	for _, t := range s.targets {
		if slices.Contains(t.Applications, r.job.Application) {
			all = append(all, t)
		}
	}
	key := place.Hash(r.job.Workspace)
	score := func(t *target) float64 { return place.Score(key, place.Target{Hash: t.hash, Weight: t.Capacity}) }
	slices.SortFunc(all, func(a, b *target) int { return cmp.Compare(score(b), score(a)) })
	share := r.job.Share
	if known, ok := o.shares[r.job.Workspace]; ok {
		share = known
	}
	fraction := 1.0
	if o.total > 0 && share > 0 {
		fraction = min(1, share/o.total)
	}
	count := int(math.Ceil(ownerFactor * fraction * float64(len(all))))
	return all[:min(len(all), max(minOwners, count))]
}
