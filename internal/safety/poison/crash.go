package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// brokenRequest is a request whose connection broke, perhaps because its target
// crashed.
type brokenRequest struct {
	request Request
	target  string
	at      time.Time
	began   bool
}

// crash is a request that broke on a target that crashed.
type crash struct {
	request Request
	target  string
	at      time.Time
	began   bool
	// event is the crash of the target, which may have broken several requests.
	event *event
	// counted is set if the crash counts for at least one feature.
	counted bool
}

// ConnectionBroke records that the connection to a target broke before the first event
// of a response; began is set if its headers had arrived. It doesn't count until the
// target is known to have crashed.
func (c *Counter) ConnectionBroke(now time.Time, request Request, target string, began bool) {
	c.removeBroken(now)
	if target != "" && len(c.broken) < maxEntries {
		c.broken = append(c.broken, brokenRequest{request: request.clone(), target: target, at: now, began: began})
	}
}

// TargetCrashed records a crash of a target against the requests whose connections
// to it broke within detectionDelay. It returns the new crashes and what is known of
// the survival of their features, to be sent to other nodes. It may be called several
// times for a crash; a request counts only once.
func (c *Counter) TargetCrashed(now time.Time, target string) ([]Crash, []Survival) {
	c.removeBroken(now)
	var added []Crash
	survivals := survivalSet{}
	for _, b := range c.broken {
		if b.target != target {
			continue
		}
		broken := crash{request: b.request, target: target, at: b.at, began: b.began}
		known := c.sameCrash(broken)
		earlier := known != nil && broken.at.Before(known.at)
		if c.addCrash(now, broken, survivals) || earlier {
			added = append(added, broken.message(now))
		}
	}
	c.broken = slices.DeleteFunc(c.broken, func(b brokenRequest) bool { return b.target == target })
	return added, survivals.messages(now)
}

// Crashes returns all crashes, to be sent to a node that has joined.
func (c *Counter) Crashes(now time.Time) []Crash {
	c.refresh(now)
	var all []Crash
	for _, known := range c.sortedCrashes() {
		all = append(all, known.message(now))
	}
	return all
}

func (c *crash) message(now time.Time) Crash {
	return Crash{Request: c.request.Digest, Parts: slices.Clone(c.request.Parts), Target: c.target, Age: now.Sub(c.at), Began: c.began}
}

// addCrash counts a crash against the features of a request and reports whether
// other nodes have to know it. To survivals it adds the survivals of these features
// that other nodes may not know.
func (c *Counter) addCrash(now time.Time, added crash, survivals survivalSet) bool {
	if known := c.sameCrash(added); known != nil {
		return c.mergeCrash(known, added)
	}
	if len(c.crashes) >= maxEntries || len(c.suspects)+len(added.request.Parts) >= maxSuspects {
		return false
	}
	cleared := true
	for _, f := range added.request.features() {
		survived := c.survived(now, f)
		if !survived.IsZero() && (c.suspects[f] == nil || !added.at.After(survived)) {
			survivals[f] = survived
		}
		cleared = cleared && !added.at.After(survived)
	}
	if cleared {
		return false
	}
	entry := &added
	c.crashes[entry] = struct{}{}
	for _, f := range entry.request.features() {
		s := c.suspects[f]
		if s == nil {
			s = &suspect{survived: c.survived(now, f)}
			c.suspects[f] = s
		}
		// A request may hold a part twice.
		if len(s.crashes) == 0 || s.crashes[len(s.crashes)-1] != entry {
			s.crashes = append(s.crashes, entry)
		}
	}
	c.changed = true
	return true
}

// sameCrash returns the known crash of the same request and target, or nil.
func (c *Counter) sameCrash(added crash) *crash {
	s := c.suspects[feature{hash: added.request.Digest, whole: true}]
	if s == nil {
		return nil
	}
	for _, known := range s.crashes {
		if known.target == added.target && known.at.Sub(added.at).Abs() < mergeTolerance {
			return known
		}
	}
	return nil
}

// mergeCrash merges a further report of a known crash and reports whether that the
// headers had arrived is new. The earliest time is the most exact one, as transmission
// makes crashes appear later.
func (c *Counter) mergeCrash(known *crash, added crash) bool {
	if added.at.Before(known.at) {
		known.at = added.at
		c.changed = true
	}
	if known.began || !added.began {
		return false
	}
	known.began = true
	c.changed = true
	return true
}

// sortedCrashes returns all crashes by target and time.
func (c *Counter) sortedCrashes() []*crash {
	return slices.SortedFunc(maps.Keys(c.crashes), func(a, b *crash) int {
		return cmp.Or(cmp.Compare(a.target, b.target), a.at.Compare(b.at), cmp.Compare(a.request.Digest, b.request.Digest))
	})
}

func (c *Counter) removeCrash(removed *crash) {
	delete(c.crashes, removed)
	for _, f := range removed.request.features() {
		s := c.suspects[f]
		if s == nil {
			continue
		}
		s.crashes = slices.DeleteFunc(s.crashes, func(known *crash) bool { return known == removed })
		if len(s.crashes) == 0 {
			delete(c.suspects, f)
		}
	}
}

func (c *Counter) removeBroken(now time.Time) {
	first := slices.IndexFunc(c.broken, func(b brokenRequest) bool { return now.Sub(b.at) <= detectionDelay })
	if first < 0 {
		first = len(c.broken)
	}
	c.broken = slices.Delete(c.broken, 0, first)
}
