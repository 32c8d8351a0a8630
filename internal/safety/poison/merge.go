package poison

import "time"

// Merge merges another node's crashes and survivals and returns those to be passed
// on. A crash that a later survival has cleared is dropped, and the survival
// returned, so that it reaches the nodes that still count the crash. Malformed
// entries are ignored.
func (c *Counter) Merge(now time.Time, crashes []Crash, survivals []Survival) ([]Crash, []Survival) {
	passed := survivalSet{}
	// With the survivals first, crashes that they clear need no entries.
	for _, s := range survivals {
		f := feature{hash: s.Feature, whole: s.Whole}
		at := now.Add(-s.Age)
		// Without a margin: each node adds the time of transmission, so a survival
		// that clears nothing could be passed on for ever.
		if s.Age >= 0 && s.Age < survivalLifetime && c.survive(f, at, 0) {
			passed[f] = at
		}
	}
	var added []Crash
	for _, report := range crashes {
		if !report.wellFormed() {
			continue
		}
		merged := crash{
			request: Request{Digest: report.Request, Parts: report.Parts}.clone(),
			target:  report.Target, at: now.Add(-report.Age), began: report.Began,
		}
		if c.addCrash(now, merged, passed) {
			added = append(added, merged.message(now))
		}
	}
	return added, passed.messages(now)
}

// wellFormed reports whether a crash from another node can be counted. Crashes count
// up to crashLifetime before the last one of a feature, which may be as old itself.
func (c Crash) wellFormed() bool {
	return c.Age >= 0 && c.Age < 2*crashLifetime && c.Target != "" && len(c.Target) <= maxTargetLength
}
