// Package lease decides who may act for the whole site, by one row of the table.
//
// No two clocks are compared. The holder counts its term from before the write
// that renewed it was sent. Everybody else counts the same term, and a margin
// for clocks that run at different speeds, from when it first saw the row in
// its present version; a renewal changes the version and starts the count anew.
// The fencing number is made from the version that the new holder replaced, so
// it rises with each holder and stays through its renewals.
package lease

import (
	"strings"
	"time"
)

// marginShare is the part of a term by which clocks may drift apart in it.
const marginShare = 10

// Record is the row as it is stored.
type Record struct {
	// Holder names the process that holds the lease; empty means released.
	Holder string `json:"holder"`
	// Fence is the holder's fencing number.
	Fence uint64 `json:"fence"`
	// Beat counts the holder's renewals.
	Beat uint64 `json:"beat"`
	// TermMillis is how long a renewal lasts.
	TermMillis int64 `json:"termMillis"`
	// QuietMillis is how long before it gave the lease up the last holder acted.
	QuietMillis int64 `json:"quietMillis,omitempty"`
}

// Grant is the right to act.
type Grant struct {
	// Fence is the fencing number.
	Fence uint64
	// Since is when the present term began.
	Since time.Time
	// Taken is when the holder became the holder.
	Taken time.Time
	// Term is its length.
	Term time.Duration
	// Quiet is the least time that had passed since an act of an earlier holder
	// when the lease was taken.
	Quiet time.Duration
}

// noHolder is the time since an act of an earlier holder where there was none.
const noHolder = time.Hour

// Covers reports whether the grant still holds for a time from now on. It must
// be asked right before each act.
func (g Grant) Covers(now time.Time, need time.Duration) bool {
	return g.Fence > 0 && elapsed(g.Since, now)+need < g.Term
}

type phase int

const (
	idle phase = iota
	reading
	writing
)

// State is one process's view of the lease. It is comparable.
type State struct {
	// host and me name the process: its host, and this start of it.
	host string
	me   string
	term time.Duration

	phase phase
	next  time.Time
	grant Grant
	// beat and sent belong to the last write; open is true until it is known
	// whether it took effect.
	beat uint64
	sent time.Time
	open bool
	// trying is the fencing number of that write.
	trying uint64
	// seen is the version of another holder's row and seenAt when it was first
	// read.
	seen   uint64
	seenAt time.Time
	// quiet is the time since the last act of the holder that is replaced.
	quiet time.Duration
	// acted is the last act before the lease was given up.
	acted time.Time
	// leaving is true once the lease is given up for good.
	leaving bool
}

// New returns the state of a process without the lease. No two processes, nor
// two starts of one, share a name.
//
//	state := lease.New(rand.Text(), 10*time.Second)
//	state, commands := state.Update(now, lease.Tick{})
func New(me string, term time.Duration) State { return State{me: me, term: term} }

// NewOn returns the state of a process that runs alone on a host. A row that an
// earlier start on the host has left is taken over at once: that process is gone.
func NewOn(host, start string, term time.Duration) State {
	return State{host: host + "/", me: host + "/" + start, term: term}
}

// Grant returns the right to act; whether it still holds is for
// [Grant.Covers] to say.
func (s State) Grant() Grant { return s.grant }

// Update takes a message at a time and returns what to do next.
func (s State) Update(now time.Time, message Message) (State, []Command) {
	switch m := message.(type) {
	case Leave:
		if s.leaving || s.grant.Fence == 0 {
			s.leaving = true
			return s, nil
		}
		s.leaving, s.acted = true, m.LastAct
		s.grant = Grant{}
		return s.read()
	case Tick:
		if s.leaving || s.phase != idle || now.Before(s.next) {
			return s, nil
		}
		return s.read()
	case Row:
		if s.phase == reading {
			return s.look(now, m)
		}
	case Written:
		if s.phase == writing && !s.leaving {
			return s.confirm(now), nil
		}
	case Unsure:
		if s.phase == writing && !s.leaving {
			return s.read()
		}
	case Down:
		s.phase = idle
		s.next = now.Add(s.pause())
	}
	return s, nil
}

func (s State) pause() time.Duration { return s.term / 4 }

func (s State) read() (State, []Command) {
	s.phase = reading
	return s, []Command{Read{}}
}

// look takes the row as it was read.
func (s State) look(now time.Time, row Row) (State, []Command) {
	mine := row.Version > 0 && row.Record.Holder == s.me
	if s.leaving {
		return s.release(now, row, mine)
	}
	switch {
	case mine && s.open && row.Record.Beat == s.beat:
		return s.confirm(now), nil
	case mine:
		return s.write(now, row.Version, row.Record.Fence)
	}
	s.grant = Grant{}
	s.open = false
	if row.Version == 0 || row.Record.Holder == "" {
		s.quiet = noHolder
		if row.Version > 0 {
			s.quiet = time.Duration(row.Record.QuietMillis) * time.Millisecond
		}
		return s.write(now, row.Version, row.Version+1)
	}
	if s.host != "" && strings.HasPrefix(row.Record.Holder, s.host) {
		s.quiet = noHolder
		return s.write(now, row.Version, row.Version+1)
	}
	return s.watch(now, row)
}

// release empties the row if it is still this process's.
func (s State) release(now time.Time, row Row, mine bool) (State, []Command) {
	if !mine {
		s.phase = idle
		return s, nil
	}
	s.phase = writing
	record := row.Record
	record.Holder = ""
	record.QuietMillis = max(0, min(elapsed(s.acted, now), noHolder)).Milliseconds()
	return s, []Command{Write{Record: record, IfVersion: row.Version}}
}

// watch waits until the row has stayed as it is for its whole term.
func (s State) watch(now time.Time, row Row) (State, []Command) {
	if s.seen != row.Version {
		s.seen, s.seenAt = row.Version, now
	}
	term := time.Duration(row.Record.TermMillis) * time.Millisecond
	if wait := term + term/marginShare; now.Sub(s.seenAt) < wait {
		s.phase = idle
		s.next = s.seenAt.Add(wait)
		return s, nil
	}
	s.quiet = now.Sub(s.seenAt) - term
	return s.write(now, row.Version, row.Version+1)
}

func (s State) write(now time.Time, version, fence uint64) (State, []Command) {
	s.phase = writing
	s.beat++
	s.sent = now
	s.open = true
	s.trying = fence
	record := Record{Holder: s.me, Fence: fence, Beat: s.beat, TermMillis: s.term.Milliseconds()}
	return s, []Command{Write{Record: record, IfVersion: version}}
}

// confirm starts a term, counted from when its write was sent.
func (s State) confirm(now time.Time) State {
	taken, quiet := s.grant.Taken, s.grant.Quiet
	if s.grant.Fence != s.trying {
		taken, quiet = now, s.quiet
	}
	s.grant = Grant{Fence: s.trying, Since: s.sent, Taken: taken, Term: s.term, Quiet: quiet}
	s.open = false
	s.phase = idle
	s.next = s.sent.Add(s.pause())
	return s
}

// elapsed takes the clock that says more, so that a holder on a suspended host
// counts its pause.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
