package cell

import (
	"cmp"
	"math"
	"slices"

	"github.com/cicadamill/cicadamill/internal/route/place"
)

const (
	// ownerSpread is how many times its share of the engines a workspace's
	// prompts are spread over.
	ownerSpread = 1.5
	minOwners   = 2
	// maxOwnerLists bounds the remembered lists.
	maxOwnerLists = 8192
)

// owners are the engines on which each workspace's prompts should lie. They
// follow from the configuration; the lists are only remembered for speed.
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

// of returns the owners of a request's workspace, without regard to which of
// them are usable now.
func (o owners) of(s State, r *run) []*target {
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

func (o owners) rank(s State, r *run) []*target {
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
	part := 1.0
	if o.total > 0 && share > 0 {
		part = min(1, share/o.total)
	}
	count := int(math.Ceil(ownerSpread * part * float64(len(all))))
	return all[:min(len(all), max(minOwners, count))]
}
