// Package ledger decides the life of one call that must run at most once.
//
// One conditional write reserves the caller's idempotency key for one owner,
// named by a nonce, before anything leaves for a target. Only the owner of the
// reservation dispatches, once, and only within the hold time counted from
// before the write was sent. What became of the call is kept in a second row,
// named by the nonce and written once. A row that says "notRun" there frees the
// reservation: its owner has given up the right to dispatch for good, so the
// next repeat may replace the reservation on condition of its version.
package ledger

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

const (
	maxReserves  = 4
	firstWait    = 50 * time.Millisecond
	longestWait  = time.Second
	retryAfter   = 2 * time.Second
	underWayWait = 5 * time.Second
)

// Call identifies a call that must run at most once.
type Call struct {
	// Row is the key of the reservation in the table; see [RowKey].
	Row string
	// Digest is the digest of what is asked for; see [Digest].
	Digest string
	// Nonce names the owner of this try. No two tries share one.
	Nonce string
	// Expires is when the record may be removed, in Unix seconds.
	Expires int64
}

// Limits bound the time that a call takes in the ledger.
type Limits struct {
	// Hold is how long after the start of its reservation an owner may dispatch.
	Hold time.Duration
	// Patience is how long a repeat waits for the answer of a call under way.
	Patience time.Duration
}

type phase int

const (
	idle phase = iota
	reserving
	reading
	joining
	dispatched
	ended
)

// State is the life of one call. It is comparable.
type State struct {
	call   Call
	limits Limits
	phase  phase
	// since is when the reservation was begun.
	since time.Time
	// joined is when waiting for another owner began.
	joined time.Time
	// version is the version of the reservation that may be replaced.
	version uint64
	// other is the nonce of the owner that is waited for.
	other string
	// conflicted is true once another request is known to have held the key.
	conflicted bool
	// stray is true when a reservation of this call may lie in the table.
	stray    bool
	reserves int
}

// New returns the state of a call that has not begun.
//
//	state := ledger.New(call, ledger.Limits{Hold: 5 * time.Second, Patience: 10 * time.Second})
//	state, commands := state.Update(now, ledger.Begin{})
func New(call Call, limits Limits) State {
	return State{call: call, limits: limits}
}

// Call returns what the state is about.
func (s State) Call() Call { return s.call }

// Ended reports whether the call has been answered or refused.
func (s State) Ended() bool { return s.phase == ended }

// Update takes a message at a time and returns what to do next. Messages that
// come late for the phase of the call change nothing.
func (s State) Update(now time.Time, message Message) (State, []Command) {
	switch s.phase {
	case idle:
		return s.begin(now, message)
	case reserving:
		return s.reserve(now, message)
	case reading:
		return s.read(now, message)
	case joining:
		return s.join(now, message)
	case dispatched:
		return s.finish(message)
	default:
		return s, nil
	}
}

func (s State) begin(now time.Time, message Message) (State, []Command) {
	if _, ok := message.(Begin); !ok {
		return s, nil
	}
	return s.send(now, 0)
}

// send starts a reservation. The hold counts from the first one that may lie in
// the table: a later try with the same nonce may find the row of an earlier one.
func (s State) send(now time.Time, version uint64) (State, []Command) {
	s.phase = reserving
	if !s.stray {
		s.since = now
	}
	s.version = version
	s.reserves++
	return s, []Command{Reserve{Record: s.record(), IfVersion: version}}
}

func (s State) record() Record {
	return Record{Nonce: s.call.Nonce, Digest: s.call.Digest, Expires: s.call.Expires}
}

func (s State) reserve(now time.Time, message Message) (State, []Command) {
	switch message.(type) {
	case Reserved:
		s.stray = true
		return s.dispatch(now)
	case Conflicted:
		s.phase = reading
		s.conflicted = true
		return s, []Command{Read{}}
	case Lost:
		s.phase = reading
		s.stray = true
		return s, []Command{Read{}}
	case Down:
		return s.giveUp("ledgerDown", "the table service can't be reached")
	default:
		return s, nil
	}
}

// dispatch hands the call to a target if the owner's time is not over. The
// shell checks the bound once more at the socket.
func (s State) dispatch(now time.Time) (State, []Command) {
	if Elapsed(s.since, now) >= s.limits.Hold {
		return s.giveUp("ledgerSlow", "the reservation took too long")
	}
	s.phase = dispatched
	return s, []Command{Dispatch{Since: s.since, Hold: s.limits.Hold}}
}

func (s State) read(now time.Time, message Message) (State, []Command) {
	switch m := message.(type) {
	case Row:
		return s.found(now, m)
	case Down:
		return s.retry(now, "the table service can't be read")
	case Woke:
		return s, []Command{Read{}}
	default:
		return s, nil
	}
}

func (s State) found(now time.Time, row Row) (State, []Command) {
	switch {
	case row.Version == 0:
		return s.again(now, 0)
	case row.Record.Nonce == s.call.Nonce:
		return s.dispatch(now)
	case row.Record.Digest != s.call.Digest:
		return s.end(Refuse{Code: "keyReused", Outcome: effect.NotRun{Reason: "key reused"}, Message: "this idempotency key was used for another request"})
	default:
		s.conflicted = true
		s.phase = joining
		s.other = row.Record.Nonce
		s.version = row.Version
		s.joined = now
		return s, []Command{ReadAnswer{Nonce: s.other}}
	}
}

// again reserves once more, with the same nonce: whichever of its writes lands,
// the reservation belongs to this owner.
func (s State) again(now time.Time, version uint64) (State, []Command) {
	if s.reserves >= maxReserves {
		return s.giveUp("ledgerBusy", "the reservation kept failing")
	}
	return s.send(now, version)
}

// retry waits before the next read, as long as it can still be of use.
func (s State) retry(now time.Time, message string) (State, []Command) {
	if Elapsed(s.since, now) >= s.limits.Hold {
		return s.giveUp("ledgerDown", message)
	}
	return s, pause(Elapsed(s.since, now))
}

// pause waits longer the longer it has lasted already.
func pause(lasted time.Duration) []Command {
	return []Command{Wait{For: min(max(firstWait, lasted/2), longestWait)}}
}

func (s State) join(now time.Time, message Message) (State, []Command) {
	switch m := message.(type) {
	case Answer:
		return s.joinedAnswer(now, m)
	case NoAnswer:
		return s.joinLonger(now, "underWay", "a request with this key is under way")
	case Down:
		return s.joinLonger(now, "ledgerDown", "the table service can't be read")
	case Woke:
		return s, []Command{ReadAnswer{Nonce: s.other}}
	default:
		return s, nil
	}
}

func (s State) joinedAnswer(now time.Time, answer Answer) (State, []Command) {
	switch effect.Parse(answer.Ran, "").(type) {
	case effect.Answered:
		return s.end(Reply{Answer: answer, Repeated: true})
	case effect.NotRun:
		return s.again(now, s.version)
	default:
		return s.end(Unknown())
	}
}

// Unknown is what a repeat of a call that ended unknown is told.
func Unknown() Refuse {
	return Refuse{Code: "outcomeUnknown", Outcome: effect.Unknown{Reason: "first request ended unknown"}, Message: "an earlier request with this key may have run"}
}

func (s State) joinLonger(now time.Time, code, message string) (State, []Command) {
	if lasted := Elapsed(s.joined, now); lasted < s.limits.Patience {
		return s, pause(lasted)
	}
	return s.end(Refuse{Code: code, Outcome: effect.Unknown{Reason: code}, RetryAfter: underWayWait, Message: message})
}

func (s State) finish(message Message) (State, []Command) {
	finished, ok := message.(Finished)
	if !ok {
		return s, nil
	}
	switch o := finished.Outcome.(type) {
	case effect.Answered:
		s.stray = false
		return s.end(Reply{Answer: finished.Answer}, Keep{Answer: finished.Answer})
	case effect.NotRun:
		return s.end(Refuse{Code: finished.Code, Outcome: o, RetryAfter: retryAfter, Message: finished.Message})
	default:
		s.stray = false
		unknown := Refuse{Code: finished.Code, Outcome: effect.Unknown{Reason: finished.Code}, Message: finished.Message}
		return s.end(unknown, Keep{Answer: Answer{Ran: effect.Name(effect.Unknown{})}})
	}
}

// giveUp ends a call that was not dispatched. It never will be, so "not run" is
// true of this request; when another request is known to have held the key, the
// caller is told that the effect is unknown.
func (s State) giveUp(code, message string) (State, []Command) {
	var outcome effect.Outcome = effect.NotRun{Reason: code}
	if s.conflicted {
		outcome = effect.Unknown{Reason: code}
	}
	return s.end(Refuse{Code: code, Outcome: outcome, RetryAfter: retryAfter, Message: message})
}

// end frees the reservation if one may be left behind undispatched.
func (s State) end(commands ...Command) (State, []Command) {
	s.phase = ended
	if s.stray {
		commands = append(commands, Keep{Answer: Answer{Ran: effect.Name(effect.NotRun{})}})
	}
	return s, commands
}

// Elapsed returns the time between two readings of a clock, by the monotonic or
// the wall clock, whichever says more. A host that was suspended may have
// stopped the first, a clock that was set may have moved the second.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
