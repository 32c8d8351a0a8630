// Package ledger implements at-most-once execution of one call, as a state
// machine over two rows of the table.
//
// Before anything is sent to a target, a conditional write reserves the caller's
// idempotency key for one owner, identified by a nonce. Only the owner of the
// reservation dispatches the call, once, and only within the hold time, which
// starts before the write is sent. The outcome is stored in a second row, keyed
// by the nonce and written once. An outcome of "notRun" frees the reservation:
// its owner will never dispatch, so the next request with the key may replace
// the reservation by a write conditional on its version.
package ledger

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

const (
	maxReserveAttempts   = 4
	minPollInterval      = 50 * time.Millisecond
	maxPollInterval      = time.Second
	retryAfter           = 2 * time.Second
	inProgressRetryAfter = 5 * time.Second
)

// Call identifies a call that must run at most once.
type Call struct {
	// Row is the key of the reservation in the table; see [RowKey].
	Row string
	// Digest identifies the content of the request; see [Digest].
	Digest string
	// Nonce identifies the owner. It is unique to each attempt.
	Nonce string
	// Expires is when the record may be removed, in Unix seconds.
	Expires int64
}

// Limits are the time limits of a call.
type Limits struct {
	// Hold is how long after the start of its reservation an owner may dispatch.
	Hold time.Duration
	// JoinTimeout is how long a duplicate request waits for the answer of the first
	// one.
	JoinTimeout time.Duration
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

// State is the state machine of one call. It is comparable.
type State struct {
	call   Call
	limits Limits
	phase  phase
	// holdStart is the start of the hold time, before the reservation was sent.
	holdStart time.Time
	// joinedAt is when the wait for another owner's answer began.
	joinedAt time.Time
	// version is the version that the reservation's row must have to be replaced.
	version uint64
	// ownerNonce is the nonce of the owner whose answer is awaited.
	ownerNonce string
	// conflicted is true once another request is known to have held the key.
	conflicted bool
	// mayHoldReservation is true if the table may contain a reservation of this
	// call.
	mayHoldReservation bool
	reserveAttempts    int
}

// New returns the state of a call that has not started.
//
//	state := ledger.New(call, ledger.Limits{Hold: 5 * time.Second, JoinTimeout: 10 * time.Second})
//	state, commands := state.Update(now, ledger.Begin{})
func New(call Call, limits Limits) State {
	return State{call: call, limits: limits}
}

// Call returns the call passed to [New].
func (s State) Call() Call { return s.call }

// Ended reports whether the call has been answered or refused.
func (s State) Ended() bool { return s.phase == ended }

// Update applies a message and returns the commands to run. Messages that don't
// belong to the current phase are ignored.
func (s State) Update(now time.Time, message Message) (State, []Command) {
	switch s.phase {
	case idle:
		return s.onIdle(now, message)
	case reserving:
		return s.onReserving(now, message)
	case reading:
		return s.onReading(now, message)
	case joining:
		return s.onJoining(now, message)
	case dispatched:
		return s.onDispatched(message)
	default:
		return s, nil
	}
}

func (s State) onIdle(now time.Time, message Message) (State, []Command) {
	if _, ok := message.(Begin); !ok {
		return s, nil
	}
	return s.sendReserve(now, 0)
}

// sendReserve starts a reservation. The hold time starts at the first one that
// may be in the table, because a later attempt with the same nonce may find the
// row written by an earlier one.
func (s State) sendReserve(now time.Time, version uint64) (State, []Command) {
	s.phase = reserving
	if !s.mayHoldReservation {
		s.holdStart = now
	}
	s.version = version
	s.reserveAttempts++
	return s, []Command{Reserve{Record: s.record(), IfVersion: version}}
}

func (s State) record() Record {
	return Record{Nonce: s.call.Nonce, Digest: s.call.Digest, Expires: s.call.Expires}
}

func (s State) onReserving(now time.Time, message Message) (State, []Command) {
	switch message.(type) {
	case Reserved:
		s.mayHoldReservation = true
		return s.dispatch(now)
	case Conflicted:
		s.phase = reading
		s.conflicted = true
		return s, []Command{Read{}}
	case Lost:
		s.phase = reading
		s.mayHoldReservation = true
		return s, []Command{Read{}}
	case Unavailable:
		return s.giveUp("ledgerDown", "the table service can't be reached")
	default:
		return s, nil
	}
}

// dispatch sends the call to a target unless the hold time has passed. The
// caller checks the hold time once more at the socket.
func (s State) dispatch(now time.Time) (State, []Command) {
	if Elapsed(s.holdStart, now) >= s.limits.Hold {
		return s.giveUp("ledgerSlow", "the reservation took too long")
	}
	s.phase = dispatched
	return s, []Command{Dispatch{Since: s.holdStart, Hold: s.limits.Hold}}
}

func (s State) onReading(now time.Time, message Message) (State, []Command) {
	switch m := message.(type) {
	case Row:
		return s.applyRow(now, m)
	case Unavailable:
		return s.retryRead(now, "the table service can't be read")
	case WaitDone:
		return s, []Command{Read{}}
	default:
		return s, nil
	}
}

func (s State) applyRow(now time.Time, row Row) (State, []Command) {
	switch {
	case row.Version == 0:
		return s.reserveAgain(now, 0)
	case row.Record.Nonce == s.call.Nonce:
		return s.dispatch(now)
	case row.Record.Digest != s.call.Digest:
		return s.end(Refuse{Code: "keyReused", Outcome: effect.NotRun{Reason: "key reused"}, Message: "this idempotency key was used for another request"})
	default:
		s.conflicted = true
		s.phase = joining
		s.ownerNonce = row.Record.Nonce
		s.version = row.Version
		s.joinedAt = now
		return s, []Command{ReadAnswer{Nonce: s.ownerNonce}}
	}
}

// reserveAgain repeats the reservation with the same nonce, so it belongs to this
// owner whichever of the writes takes effect.
func (s State) reserveAgain(now time.Time, version uint64) (State, []Command) {
	if s.reserveAttempts >= maxReserveAttempts {
		return s.giveUp("ledgerBusy", "the reservation kept failing")
	}
	return s.sendReserve(now, version)
}

// retryRead waits before the next read, or gives up after the hold time, when the
// call could no longer be dispatched.
func (s State) retryRead(now time.Time, message string) (State, []Command) {
	if Elapsed(s.holdStart, now) >= s.limits.Hold {
		return s.giveUp("ledgerDown", message)
	}
	return s, pollAfter(Elapsed(s.holdStart, now))
}

// pollAfter waits for half of the time waited so far, between minPollInterval and
// maxPollInterval.
func pollAfter(waited time.Duration) []Command {
	return []Command{Wait{For: min(max(minPollInterval, waited/2), maxPollInterval)}}
}

func (s State) onJoining(now time.Time, message Message) (State, []Command) {
	switch m := message.(type) {
	case Answer:
		return s.applyAnswer(now, m)
	case NoAnswer:
		return s.keepJoining(now, "underWay", "a request with this key is under way")
	case Unavailable:
		return s.keepJoining(now, "ledgerDown", "the table service can't be read")
	case WaitDone:
		return s, []Command{ReadAnswer{Nonce: s.ownerNonce}}
	default:
		return s, nil
	}
}

func (s State) applyAnswer(now time.Time, answer Answer) (State, []Command) {
	switch effect.Parse(answer.Outcome, "").(type) {
	case effect.Answered:
		return s.end(Reply{Answer: answer, Repeated: true})
	case effect.NotRun:
		return s.reserveAgain(now, s.version)
	default:
		return s.end(RefuseUnknown())
	}
}

// RefuseUnknown returns the refusal of a duplicate of a request whose outcome is
// unknown.
func RefuseUnknown() Refuse {
	return Refuse{Code: "outcomeUnknown", Outcome: effect.Unknown{Reason: "first request ended unknown"}, Message: "an earlier request with this key may have run"}
}

func (s State) keepJoining(now time.Time, code, message string) (State, []Command) {
	if waited := Elapsed(s.joinedAt, now); waited < s.limits.JoinTimeout {
		return s, pollAfter(waited)
	}
	return s.end(Refuse{Code: code, Outcome: effect.Unknown{Reason: code}, RetryAfter: inProgressRetryAfter, Message: message})
}

func (s State) onDispatched(message Message) (State, []Command) {
	finished, ok := message.(Finished)
	if !ok {
		return s, nil
	}
	switch o := finished.Outcome.(type) {
	case effect.Answered:
		s.mayHoldReservation = false
		return s.end(Reply{Answer: finished.Answer}, Store{Answer: finished.Answer})
	case effect.NotRun:
		return s.end(Refuse{Code: finished.Code, Outcome: o, RetryAfter: retryAfter, Message: finished.Message})
	default:
		s.mayHoldReservation = false
		unknown := Refuse{Code: finished.Code, Outcome: effect.Unknown{Reason: finished.Code}, Message: finished.Message}
		return s.end(unknown, Store{Answer: Answer{Outcome: effect.Name(effect.Unknown{})}})
	}
}

// giveUp ends a call that was not dispatched and never will be, so its outcome is
// "not run". If another request is known to have held the key, that one may have
// run, and the outcome is "unknown".
func (s State) giveUp(code, message string) (State, []Command) {
	var outcome effect.Outcome = effect.NotRun{Reason: code}
	if s.conflicted {
		outcome = effect.Unknown{Reason: code}
	}
	return s.end(Refuse{Code: code, Outcome: outcome, RetryAfter: retryAfter, Message: message})
}

// end ends the call. It also frees the reservation if the table may contain one
// that was not dispatched.
func (s State) end(commands ...Command) (State, []Command) {
	s.phase = ended
	if s.mayHoldReservation {
		commands = append(commands, Store{Answer: Answer{Outcome: effect.Name(effect.NotRun{})}})
	}
	return s, commands
}

// Elapsed returns the time between two clock readings, by the monotonic or the
// wall clock, whichever gives more. The monotonic clock may stop while a host is
// suspended; the wall clock may be set back.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
