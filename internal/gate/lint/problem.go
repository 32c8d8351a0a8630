package lint

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/plan"
)

// Problem is what is wrong at a place. The variants follow.
type Problem interface {
	message(n Names) string
}

type (
	// Missing means that a field is missing, zero or empty.
	Missing struct{}
	// UnknownKind means that a route's kind is not known.
	UnknownKind struct{}
	// NotNewer means that the version is not above the one in force.
	NotNewer struct{ Version, InForce uint64 }
	// SameName means that an earlier entry has the same name.
	SameName struct{ First Place }
	// Hidden means that an earlier route has the same host and prefix, so that this one
	// gets no requests.
	Hidden struct{ By Place }
	// Replaced means that a later entry or key takes the place of this one.
	Replaced struct{ By Place }
	// Repeated means that a value is in a list twice.
	Repeated struct{}
	// NeverMatches means that no request has this value.
	NeverMatches struct{ Value, Reason string }
	// MatchesMore means that a prefix ends within a path segment.
	MatchesMore struct{ Prefix string }
	// NoService means that a route has no service at all.
	NoService struct{}
	// UnknownService means that no service has the name. If IsStore is true, a store has
	// it, which serves no requests.
	UnknownService struct {
		Service string
		IsStore bool
	}
	// NoShare means that a split of weight zero gets no requests.
	NoShare struct{}
	// NoWeights means that all weights of a route are zero, so that its last split gets all
	// requests.
	NoWeights struct{ Last string }
	// BesideSplits means that a route has both one service and a list of splits.
	BesideSplits struct{ Service string }
	// Unused means that nothing refers to the entry.
	Unused struct{}
	// NoModels means that engines serve no model.
	NoModels struct{}
	// NoKeys means that a workspace has no key, so that no request belongs to it.
	NoKeys struct{}
	// EmptyKey means that requests without a key belong to the workspace.
	EmptyKey struct{}
	// Below means that a value is below that of another field, which it must reach.
	Below struct {
		Value any
		Field Field
		Other any
	}
	// Negative means that a value is below zero.
	Negative struct{ Value any }
	// NoObjective means that a route has no latency objective.
	NoObjective struct{}
	// NotRepeated means that several attempts are allowed for requests that may not run
	// more than once.
	NotRepeated struct {
		Attempts int
		Kind     plan.Kind
	}
	// NotResumable means that requests of this kind are never resumed.
	NotResumable struct{ Kind plan.Kind }
	// NoPauses means that a longest pause is set for requests of a kind without a stream.
	NoPauses struct{ Kind plan.Kind }
	// OutOfRange means that a value is not between zero and a bound.
	OutOfRange struct{ Value, Max float64 }
	// BurstBelowOne means that a burst is below one request of size 1.
	BurstBelowOne struct{ Burst float64 }
	// UnknownUnit means that the unit of a limit is not known.
	UnknownUnit struct{}
	// OtherLimit means that an earlier workspace with the same name has another limit.
	OtherLimit struct{ First Place }
	// UnknownRank means that a priority is outside of 0 to [plan.LowestRank].
	UnknownRank struct{ Rank int }
)

func (Missing) message(Names) string { return "is missing or 0" }

func (UnknownKind) message(n Names) string {
	return fmt.Sprintf("is not known; use %s, %s or %s", n.Kinds[plan.Repeatable], n.Kinds[plan.AtMostOnce], n.Kinds[plan.Stream])
}

func (p NotNewer) message(Names) string {
	return fmt.Sprintf("is %d, but %d is in force: hosts ignore it; use a higher one", p.Version, p.InForce)
}

func (p SameName) message(n Names) string {
	return "has the same name as " + p.First.Path(n)
}

func (p Hidden) message(n Names) string {
	return fmt.Sprintf("never matches: %s has the same host and prefix", p.By.Label(n))
}

func (p Replaced) message(n Names) string {
	return fmt.Sprintf("never applies: %s in %s takes its place", p.By.Path(n), p.By.Label(n))
}

func (Repeated) message(Names) string { return "is in the list twice" }

func (p NeverMatches) message(Names) string {
	return fmt.Sprintf("%q never matches: %s", p.Value, p.Reason)
}

func (p MatchesMore) message(Names) string {
	return fmt.Sprintf("%q does not end with a slash, so it also matches %q", p.Prefix, p.Prefix+"x")
}

func (NoService) message(Names) string { return "has no service: its requests are answered with 503" }

func (p UnknownService) message(Names) string {
	if p.IsStore {
		return fmt.Sprintf("%q is a store, which serves no requests: they are answered with 503", p.Service)
	}
	return fmt.Sprintf("there is no service %q: requests for it are answered with 503", p.Service)
}

func (NoShare) message(Names) string {
	return "is 0: the service gets no requests from this route"
}

func (p NoWeights) message(Names) string {
	return fmt.Sprintf("all weights are 0: %q gets all requests", p.Last)
}

func (p BesideSplits) message(n Names) string {
	return fmt.Sprintf("counts as one more entry of %s, with weight 1 for %q", n.Field(Splits), p.Service)
}

func (Unused) message(Names) string { return "no route leads to it" }

func (NoModels) message(Names) string { return "the engines serve no model" }

func (NoKeys) message(Names) string { return "is empty: no request belongs to the workspace" }

func (EmptyKey) message(Names) string {
	return "is empty: requests without a key belong to the workspace"
}

func (p Below) message(n Names) string {
	return fmt.Sprintf("is %s, below %s of %s", text(p.Value, n), n.Field(p.Field), text(p.Other, n))
}

func (p Negative) message(n Names) string { return "is negative: " + text(p.Value, n) }

func (NoObjective) message(Names) string { return "is missing or 0: every answer counts as late" }

func (p NotRepeated) message(n Names) string {
	if p.Kind == plan.Stream {
		return fmt.Sprintf("is %d, but streams run only once unless %s is set", p.Attempts, n.Field(Resumable))
	}
	return fmt.Sprintf("is %d, but requests of kind %s run only once", p.Attempts, n.Kinds[p.Kind])
}

func (p NotResumable) message(n Names) string {
	return fmt.Sprintf("has no effect: requests of kind %s are never resumed", n.Kinds[p.Kind])
}

func (p NoPauses) message(n Names) string {
	return fmt.Sprintf("has no effect: answers to requests of kind %s are not streams", n.Kinds[p.Kind])
}

func (p OutOfRange) message(Names) string {
	return fmt.Sprintf("is %g, but must be a number from 0 to %g", p.Value, p.Max)
}

func (p BurstBelowOne) message(Names) string {
	return fmt.Sprintf("is %g, less than one request of size 1", p.Burst)
}

func (UnknownUnit) message(n Names) string {
	return fmt.Sprintf("is not known; leave it out to count requests, or use %q", n.TokenUnit)
}

func (p OtherLimit) message(n Names) string {
	return "is named twice with different limits: see " + p.First.Path(n)
}

func (p UnknownRank) message(Names) string {
	return fmt.Sprintf("%d is not a rank; use 0 (first) to %d", p.Rank, plan.LowestRank)
}

// text returns a value as operators read it.
func text(value any, n Names) string {
	switch v := value.(type) {
	case time.Duration:
		// The configuration counts in milliseconds.
		return strconv.FormatFloat(float64(v)/float64(time.Millisecond), 'f', -1, 64) + " ms"
	case plan.Kind:
		return n.Kinds[v]
	case []plan.Split:
		return splitText(v)
	case []string:
		return listText(v)
	case string:
		return strconv.Quote(v)
	default:
		return fmt.Sprint(v)
	}
}

func listText(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}

// splitText returns the share of each service in per cent.
func splitText(splits []plan.Split) string {
	total := 0.0
	for _, s := range splits {
		total += float64(s.Weight)
	}
	shares := make([]string, 0, len(splits))
	for _, s := range splits {
		if total > 0 && len(splits) > 1 {
			shares = append(shares, fmt.Sprintf("%s %.4g %%", s.Service, 100*float64(s.Weight)/total))
			continue
		}
		shares = append(shares, s.Service)
	}
	return listText(shares)
}
