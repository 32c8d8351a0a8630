package needs

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/oplog"
)

// Change is a need that an instance has begun or ended to name: one of [Limited],
// [Unlimited], [Leaving] or [Paused].
type Change interface{ change() }

// Limited means that an instance takes only so many requests from now on.
type Limited struct {
	Instance Instance
	// PerSecond is the number of requests a second from all nodes together, Share that
	// of this node.
	PerSecond, Share float64
}

// Unlimited means that an instance no longer names a limit.
type Unlimited struct{ Instance Instance }

// Leaving means that an instance takes no new work.
type Leaving struct{ Instance Instance }

// Paused means that an instance wants no requests from this node for a while.
type Paused struct {
	Instance Instance
	For      time.Duration
}

func (Limited) change()   {}
func (Unlimited) change() {}
func (Leaving) change()   {}
func (Paused) change()    {}

// Permission is whether a request may be sent: one of [Allowed], [Deferred] or
// [Denied].
type Permission interface{ permission() }

// Allowed means that the request may be sent.
type Allowed struct{}

// Deferred means that a request may be sent later.
type Deferred struct {
	// Until is the earliest time; zero if unknown, since this node has no share of the
	// limit.
	Until time.Time
}

// Denied means that no request may be sent to the instance any more.
type Denied struct{}

func (Allowed) permission()  {}
func (Deferred) permission() {}
func (Denied) permission()   {}

// kind is the kind of a [Report].
type kind uint8

const (
	// named and ended are the beginning or change of a limit, and its end.
	named kind = iota + 1
	ended
	leaving
)

// Report is a need of an instance, for other nodes.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// ID and Born identify the instance.
	ID   string
	Born int64
	Kind kind
	// Limit is the limit, in requests a second.
	Limit float64
	// Age is the time since the answer that named the need; for the end of a limit,
	// since the request was sent whose answer named none.
	Age time.Duration
}

// entry is a need in the log of reports.
type entry struct {
	of    Instance
	kind  kind
	limit float64
	at    time.Time
}

func (e entry) report(now time.Time) Report {
	return Report{ID: e.of.ID, Born: e.of.Born, Kind: e.kind, Limit: e.limit, Age: now.Sub(e.at)}
}

// record adds a need to the log for other nodes. What was new to this node may be so to
// any other: not all reach each other.
func (t *Tracker) record(e entry) { t.reports.Add(oplog.Origin{}, e) }

// Since returns the needs for a recipient after a position of the log, and the position
// after them. A recipient that has received none, or so few that the log no longer has
// the next ones, gets all.
func (t *Tracker) Since(now time.Time, to oplog.Recipient, after uint64) ([]Report, uint64) {
	entries, next := t.reports.Since(after, to)
	if after == oplog.FromNow || !t.reports.Has(after) {
		return t.all(now), next
	}
	var reports []Report
	for _, e := range entries {
		reports = append(reports, e.report(now))
	}
	return reports, next
}

func (t *Tracker) all(now time.Time) []Report {
	var reports []Report
	for of, s := range t.instances {
		switch {
		case s.limited:
			reports = append(reports, entry{of: of, kind: named, limit: s.limit, at: s.namedAt}.report(now))
		case !s.endedAt.IsZero():
			reports = append(reports, entry{of: of, kind: ended, at: s.endedAt}.report(now))
		}
		if s.leaving {
			reports = append(reports, entry{of: of, kind: leaving, at: now}.report(now))
		}
	}
	return reports
}

// Merge applies what other nodes reported and returns what that changes.
func (t *Tracker) Merge(now time.Time, reports []Report) []Change {
	var changes []Change
	for _, r := range reports {
		of := Instance{ID: r.ID, Born: r.Born}
		s, known := t.instances[of]
		if !known {
			if r.Kind == ended {
				continue
			}
			s = t.state(now, of)
		}
		switch at := now.Add(-r.Age); r.Kind {
		case named:
			changes = append(changes, t.name(now, at, of, s, r.Limit)...)
		case ended:
			changes = append(changes, t.end(now, at, of, s)...)
		case leaving:
			changes = append(changes, t.leave(now, of, s)...)
		}
	}
	return changes
}
