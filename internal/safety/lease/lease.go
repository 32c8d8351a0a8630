// Package lease elects one process of a site as leader, by a lease in one row of
// the table.
//
// It never compares the clocks of two hosts. Its own times must come from a clock
// that counts the time for which the host was suspended and never steps, such as that
// of package boot: a term must end while its holder is suspended, and a step of the
// time of day must not make a holder's silence look longer than it was.
//
// The holder's term starts before it sends the write that renews the lease. Other
// processes wait for the same term, plus a margin for clock drift, from when they
// first read the current version of the row; a renewal changes the version and
// restarts the wait. The fencing token is derived from the row version that the new
// holder replaced, so it increases with each holder and doesn't change on renewal.
package lease

import (
	"strings"
	"time"

	"github.com/cicadamill/cicadamill/internal/infra/epoch"
)

// driftDivisor determines the margin for clock drift, which is one driftDivisor-th
// of a term.
const driftDivisor = 10

// Record is the stored form of the lease.
type Record struct {
	// Holder is the name of the holding process; empty means released.
	Holder string `json:"holder"`
	// Fence is the holder's fencing token.
	Fence uint64 `json:"fence"`
	// Epoch is how often the table had been restored when the record was written.
	Epoch uint64 `json:"epoch,omitempty"`
	// Beat numbers the writes of the holder, so that it recognises its last one.
	Beat uint64 `json:"beat"`
	// TermMillis is the length of a term.
	TermMillis int64 `json:"termMillis"`
	// QuietMillis is the time between the last act of a holder and its release of
	// the lease.
	QuietMillis int64 `json:"quietMillis,omitempty"`
}

// Grant is a process's view of the lease while it is the holder.
type Grant struct {
	// Fence is the fencing token; zero means that the process is not the holder.
	Fence uint64
	// Since is the start of the current term.
	Since time.Time
	// TakenAt is when the process became the holder.
	TakenAt time.Time
	// Term is the length of the term.
	Term time.Duration
	// SinceLastAct is the minimum time between the last act of an earlier holder and
	// the takeover of the lease.
	SinceLastAct time.Duration
}

// maxQuiet limits the time since the last act that is stored on release. It is also
// the value assumed if no earlier holder can still act.
const maxQuiet = time.Hour

// Covers reports whether the lease is still held for the given time from now on.
// It must be called right before each act.
func (g Grant) Covers(now time.Time, need time.Duration) bool {
	return g.Fence > 0 && now.Sub(g.Since)+need < g.Term
}

type phase int

const (
	idle phase = iota
	reading
	writing
)

// State is one process's view of the lease. It is comparable.
type State struct {
	// hostPrefix begins the holder names of all processes on this host; empty if
	// unknown. holderName is unique to this process.
	hostPrefix string
	holderName string
	term       time.Duration

	phase    phase
	nextRead time.Time
	grant    Grant
	// beat and sentAt belong to the last write; unconfirmed is true until that write
	// is confirmed or another holder is read.
	beat        uint64
	sentAt      time.Time
	unconfirmed bool
	// pendingFence is the fencing token of that write.
	pendingFence uint64
	// seenVersion identifies the row last read from another holder by the fencing token
	// that follows it; seenAt is when it was first read.
	seenVersion uint64
	seenAt      time.Time
	// quiet is the minimum time since the last act of the holder being replaced.
	quiet time.Duration
	// lastAct is when this process last acted before it released the lease.
	lastAct time.Time
	// stopped is true once the process has stopped competing for the lease.
	stopped bool
}

// New returns the state of a process that doesn't hold the lease. The name must
// be unique to each start of each process.
//
//	state := lease.New(rand.Text(), 10*time.Second)
//	state, commands := state.Update(now, lease.Tick{})
func New(name string, term time.Duration) State { return State{holderName: name, term: term} }

// NewOnHost is like [New] for the only process on a host. It takes over at once a
// lease that an earlier start on the same host still holds, because that process
// has ended.
func NewOnHost(host, start string, term time.Duration) State {
	return State{hostPrefix: host + "/", holderName: host + "/" + start, term: term}
}

// Grant returns the last grant, which may have expired; see [Grant.Covers].
func (s State) Grant() Grant { return s.grant }

// Update applies a message and returns the commands to run.
func (s State) Update(now time.Time, message Message) (State, []Command) {
	switch m := message.(type) {
	case Release:
		if s.stopped || s.grant.Fence == 0 {
			s.stopped = true
			return s, nil
		}
		s.stopped, s.lastAct = true, m.LastAct
		s.grant = Grant{}
		return s.read()
	case Tick:
		if s.stopped || s.phase != idle || now.Before(s.nextRead) {
			return s, nil
		}
		return s.read()
	case Row:
		if s.phase == reading {
			return s.applyRow(now, m)
		}
	case Written:
		if s.phase == writing && !s.stopped {
			return s.confirm(now), nil
		}
	case Unsure:
		if s.phase == writing && !s.stopped {
			return s.read()
		}
	case Unavailable:
		s.phase = idle
		s.nextRead = now.Add(s.renewInterval())
	}
	return s, nil
}

func (s State) renewInterval() time.Duration { return s.term / 4 }

func (s State) read() (State, []Command) {
	s.phase = reading
	return s, []Command{Read{}}
}

// applyRow handles the result of a read: it releases, confirms, renews, takes or
// watches the lease.
func (s State) applyRow(now time.Time, row Row) (State, []Command) {
	mine := row.Version > 0 && row.Record.Holder == s.holderName
	if s.stopped {
		return s.release(now, row, mine)
	}
	if row.Epoch > 0 && (row.Version == 0 || row.Record.Epoch != row.Epoch) {
		return s.applyRestored(now, row)
	}
	switch {
	case mine && s.unconfirmed && row.Record.Beat == s.beat:
		return s.confirm(now), nil
	case mine:
		return s.write(now, row, row.Record.Fence)
	}
	s.grant = Grant{}
	s.unconfirmed = false
	if row.Version == 0 || row.Record.Holder == "" {
		s.quiet = maxQuiet
		if row.Version > 0 {
			s.quiet = time.Duration(row.Record.QuietMillis) * time.Millisecond
		}
		return s.write(now, row, newFence(row))
	}
	if s.hostPrefix != "" && strings.HasPrefix(row.Record.Holder, s.hostPrefix) {
		s.quiet = maxQuiet
		return s.write(now, row, newFence(row))
	}
	return s.watch(now, row)
}

// applyRestored handles a row from before a restoration. Another process may have taken
// the lease since it was written, so that it proves nothing: not that the lease is free,
// nor that this process holds it. An earlier holder keeps it for a term at most, and may
// renew it until then.
func (s State) applyRestored(now time.Time, row Row) (State, []Command) {
	if s.grant.Covers(now, 0) {
		return s.write(now, row, s.grant.Fence)
	}
	s.grant = Grant{}
	s.unconfirmed = false
	if row.Record.TermMillis == 0 {
		row.Record.TermMillis = s.term.Milliseconds()
	}
	return s.watch(now, row)
}

// newFence returns a fencing token above all that were given out before the row was read.
func newFence(row Row) uint64 {
	return max(row.Version, uint64(epoch.New(row.Epoch, 0))) + 1
}

// release clears the holder if the row still belongs to this process.
func (s State) release(now time.Time, row Row, mine bool) (State, []Command) {
	if !mine {
		s.phase = idle
		return s, nil
	}
	s.phase = writing
	record := row.Record
	record.Holder = ""
	record.QuietMillis = max(0, min(now.Sub(s.lastAct), maxQuiet)).Milliseconds()
	return s, []Command{Write{Record: record, IfVersion: row.Version}}
}

// watch takes over the lease once the row has not changed for a whole term and
// the margin for clock drift.
func (s State) watch(now time.Time, row Row) (State, []Command) {
	if seen := newFence(row); s.seenVersion != seen {
		s.seenVersion, s.seenAt = seen, now
	}
	term := time.Duration(row.Record.TermMillis) * time.Millisecond
	if wait := term + term/driftDivisor; now.Sub(s.seenAt) < wait {
		s.phase = idle
		s.nextRead = s.seenAt.Add(wait)
		return s, nil
	}
	s.quiet = now.Sub(s.seenAt) - term
	return s.write(now, row, newFence(row))
}

func (s State) write(now time.Time, row Row, fence uint64) (State, []Command) {
	s.phase = writing
	s.beat++
	s.sentAt = now
	s.unconfirmed = true
	s.pendingFence = fence
	record := Record{Holder: s.holderName, Fence: fence, Epoch: row.Epoch, Beat: s.beat, TermMillis: s.term.Milliseconds()}
	return s, []Command{Write{Record: record, IfVersion: row.Version}}
}

// confirm starts a new term at the time the confirmed write was sent.
func (s State) confirm(now time.Time) State {
	taken, quiet := s.grant.TakenAt, s.grant.SinceLastAct
	if s.grant.Fence != s.pendingFence {
		taken, quiet = now, s.quiet
	}
	s.grant = Grant{Fence: s.pendingFence, Since: s.sentAt, TakenAt: taken, Term: s.term, SinceLastAct: quiet}
	s.unconfirmed = false
	s.phase = idle
	s.nextRead = s.sentAt.Add(s.renewInterval())
	return s
}
