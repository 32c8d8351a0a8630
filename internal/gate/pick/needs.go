package pick

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/needs"
)

// instance returns the start of the target that the list shows.
func (t *target) instance() needs.Instance { return needs.Instance{ID: t.ID, Born: t.Born} }

// Take counts a decision to send a request against the limit that its target names.
func (s *Picker) Take(now time.Time, d Dispatch) {
	s.options.Needs.Take(now, needs.Instance{ID: d.Target.ID, Born: d.Target.Born})
}

// deferral collects the targets that take no request of this node now because of what
// they need.
type deferral struct {
	count int
	// until is when the first of them takes one; zero if none does.
	until time.Time
}

func (d *deferral) add(p needs.Deferred) {
	d.count++
	if !p.Until.IsZero() && (d.until.IsZero() || p.Until.Before(d.until)) {
		d.until = p.Until
	}
}

// decide returns the decision about a request for which all targets are deferred: it
// waits only if it can still be answered in time.
func (d *deferral) decide(now time.Time, r Request) Decision {
	wait := d.until.Sub(now)
	switch {
	case d.count == 0:
		return Refuse{Reason: "no target takes new work", RetryAfter: time.Second}
	case d.until.IsZero():
		return Refuse{Reason: "every target takes fewer requests, from other hosts", RetryAfter: minRetryAfter}
	case wait > min(r.ObjectiveLeft, r.ClientTimeLeft/2):
		return Refuse{Reason: "every target has reached its limit or asked for a pause", RetryAfter: wait, Firm: true}
	default:
		return Wait{Reason: "every target has reached its limit or asked for a pause"}
	}
}
