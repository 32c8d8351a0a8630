package ledger_test

import (
	"errors"
	"strconv"
	"time"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/safety/ledger"
)

const (
	owners    = 3
	hold      = time.Second
	retention = 2 // ticks, each as long as hold
)

// injectedFault is a fault added to the model around [ledger.State], to show
// that the check detects it.
type injectedFault int

const (
	noFault injectedFault = iota
	dispatchBeforeWrite
	lostReplyAsSuccess
	writeWithoutCondition
	nonceNotCompared
	holdNotRechecked
	missingAnswerFreesReservation
	freedBeforeDispatch
	unknownReportedAsNotRun
)

type storedOutcome int

const (
	noOutcome storedOutcome = iota
	answered
	notRun
	unknown
)

type pending struct {
	kind    string
	version uint64
	nonce   int
	command ledger.Dispatch
}

// owner is one attempt with the idempotency key at one node.
type owner struct {
	state   ledger.State
	pending pending
	crashed bool
	toStore storedOutcome
	// delayed is true if a reservation has been sent but has not reached the table
	// yet; delayedVersion is the version that it expects.
	delayed        bool
	delayedVersion uint64
	runCount       int
	reported       storedOutcome
}

// world models the table, the target and all owners. It is comparable.
type world struct {
	fault                injectedFault
	tick                 int
	faults               int
	crashes              int
	owners               [owners]owner
	holder               int // one more than the index of the reservation's owner
	version              uint64
	lastVersion          uint64
	reservedTick         int // tick of the reservation
	answers              [owners]storedOutcome
	runs                 int
	expired              int
	dispatchedWithoutRow bool // an owner dispatched without holding the row
}

func start(fault injectedFault, count, faults, crashes int) world {
	w := world{fault: fault, faults: faults, crashes: crashes}
	for i := range count {
		call := ledger.Call{Row: "row", Digest: "same", Nonce: strconv.Itoa(i)}
		w.owners[i].state = ledger.New(call, ledger.Limits{Hold: hold, JoinTimeout: hold})
		w.owners[i].pending = pending{kind: "begin"}
	}
	return w
}

func (w world) now() time.Time { return time.Unix(0, 0).Add(time.Duration(w.tick) * hold) }

// check returns an error if an invariant is violated.
func (w world) check() error {
	switch {
	case w.runs > 1+w.expired:
		return errors.New("the effect ran twice")
	case w.dispatchedWithoutRow:
		return errors.New("an owner dispatched without holding the reservation")
	}
	for _, o := range w.owners {
		switch {
		case o.runCount > 1:
			return errors.New("an owner dispatched twice")
		case o.reported == notRun && o.runCount > 0:
			return errors.New("a request that ran was reported as not run")
		case o.reported == answered && w.runs == 0:
			return errors.New("a caller got an answer although no request ran")
		}
	}
	return nil
}

// next returns all successor states.
func (w world) next() []world {
	var all []world
	if w.tick < 3 {
		advanced := w
		advanced.tick++
		all = append(all, advanced)
	}
	if w.holder > 0 && w.tick-w.reservedTick >= retention && w.expired == 0 {
		expired := w
		expired.holder, expired.version = 0, 0
		expired.expired++
		all = append(all, expired)
	}
	for i, o := range w.owners {
		if o.delayed {
			all = append(all, w.applyDelayed(i))
		}
		if !o.crashed {
			all = append(all, w.stepsOf(i)...)
		}
	}
	return all
}

func (w world) stepsOf(i int) []world {
	o := w.owners[i]
	var all []world
	if o.toStore != noOutcome {
		stored := w
		stored.answers[i] = o.toStore
		stored.owners[i].toStore = noOutcome
		all = append(all, stored)
	}
	if w.crashes > 0 && o.pending.kind != "" && o.pending.kind != "begin" {
		crashed := w
		crashed.crashes--
		crashed.owners[i].crashed = true
		crashed.owners[i].pending = pending{}
		all = append(all, crashed)
	}
	switch o.pending.kind {
	case "begin":
		all = append(all, w.deliver(i, ledger.Begin{}))
	case "reserve":
		all = append(all, w.reserves(i)...)
	case "read":
		all = append(all, w.reads(i, w.row())...)
	case "readAnswer":
		all = append(all, w.reads(i, w.answer(o.pending.nonce))...)
	case "wait":
		all = append(all, w.deliver(i, ledger.WaitDone{}))
	case "dispatch":
		all = append(all, w.dispatches(i)...)
	}
	return all
}

func (w world) reserves(i int) []world {
	var all []world
	applied, ok := w.apply(i, w.owners[i].pending.version)
	if ok {
		all = append(all, applied.deliver(i, ledger.Reserved{}))
	} else {
		all = append(all, w.deliver(i, ledger.Conflicted{}))
	}
	if w.faults == 0 {
		return all
	}
	w.faults--
	applied.faults = w.faults
	late := w
	late.owners[i].delayed = true
	late.owners[i].delayedVersion = w.owners[i].pending.version
	return append(all, applied.deliver(i, ledger.Lost{}), w.deliver(i, ledger.Lost{}), late.deliver(i, ledger.Lost{}), w.deliver(i, ledger.Unavailable{}))
}

// apply performs a conditional write at the table.
func (w world) apply(i int, version uint64) (world, bool) {
	if w.version != version && w.fault != writeWithoutCondition {
		return w, false
	}
	w.lastVersion++
	w.holder, w.version, w.reservedTick = i+1, w.lastVersion, w.tick
	return w, true
}

func (w world) applyDelayed(i int) world {
	w.owners[i].delayed = false
	w, _ = w.apply(i, w.owners[i].delayedVersion)
	return w
}

func (w world) row() ledger.Message {
	if w.holder == 0 {
		return ledger.Row{}
	}
	return ledger.Row{Record: ledger.Record{Nonce: strconv.Itoa(w.holder - 1), Digest: "same"}, Version: w.version}
}

func (w world) answer(nonce int) ledger.Message {
	switch w.answers[nonce] {
	case answered:
		return ledger.Answer{Outcome: effect.Name(effect.Answered{})}
	case notRun:
		return ledger.Answer{Outcome: effect.Name(effect.NotRun{})}
	case unknown:
		return ledger.Answer{Outcome: effect.Name(effect.Unknown{})}
	default:
		return ledger.NoAnswer{}
	}
}

func (w world) reads(i int, result ledger.Message) []world {
	all := []world{w.deliver(i, result)}
	if w.faults > 0 {
		w.faults--
		all = append(all, w.deliver(i, ledger.Unavailable{}))
	}
	return all
}

func (w world) dispatches(i int) []world {
	dispatch := w.owners[i].pending.command
	if dispatch.Expired(w.now()) && w.fault != holdNotRechecked {
		return []world{w.deliver(i, ledger.Finished{Outcome: effect.NotRun{}, Code: "late"})}
	}
	refused := w.deliver(i, ledger.Finished{Outcome: effect.NotRun{}, Code: "refused"})
	disconnected := w.deliver(i, ledger.Finished{Outcome: effect.Unknown{}, Code: "vanished"})
	w.dispatchedWithoutRow = w.dispatchedWithoutRow || w.holder != i+1
	w.runs++
	w.owners[i].runCount++
	return []world{
		refused, disconnected,
		w.deliver(i, ledger.Finished{Outcome: effect.Answered{}, Answer: ledger.Answer{Outcome: effect.Name(effect.Answered{})}}),
		w.deliver(i, ledger.Finished{Outcome: effect.Unknown{}, Code: "broken"}),
	}
}

// deliver passes a message to an owner's state and runs its commands.
func (w world) deliver(i int, message ledger.Message) world {
	o := &w.owners[i]
	o.pending = pending{}
	var commands []ledger.Command
	o.state, commands = o.state.Update(w.now(), w.faultyMessage(i, message))
	for _, command := range commands {
		w.run(i, w.faultyCommand(command))
	}
	return w
}

func (w *world) run(i int, command ledger.Command) {
	o := &w.owners[i]
	switch c := command.(type) {
	case ledger.Reserve:
		o.pending = pending{kind: "reserve", version: c.IfVersion}
		if w.fault == freedBeforeDispatch {
			o.toStore = notRun
		}
	case ledger.Read:
		o.pending = pending{kind: "read"}
	case ledger.ReadAnswer:
		nonce, _ := strconv.Atoi(c.Nonce)
		o.pending = pending{kind: "readAnswer", nonce: nonce}
	case ledger.Wait:
		o.pending = pending{kind: "wait"}
	case ledger.Dispatch:
		o.pending = pending{kind: "dispatch", command: c}
	case ledger.Store:
		o.toStore = outcomeOf(effect.Parse(c.Answer.Outcome, ""))
	case ledger.Reply:
		o.reported = answered
	case ledger.Refuse:
		o.reported = outcomeOf(c.Outcome)
		if w.fault == unknownReportedAsNotRun {
			o.reported = notRun
		}
	}
}

func outcomeOf(outcome effect.Outcome) storedOutcome {
	switch outcome.(type) {
	case effect.Answered:
		return answered
	case effect.NotRun:
		return notRun
	default:
		return unknown
	}
}

func (w world) faultyMessage(i int, message ledger.Message) ledger.Message {
	switch m := message.(type) {
	case ledger.Lost:
		if w.fault == lostReplyAsSuccess {
			return ledger.Reserved{}
		}
	case ledger.Row:
		if w.fault == nonceNotCompared {
			m.Record.Nonce = strconv.Itoa(i)
			return m
		}
	case ledger.NoAnswer:
		if w.fault == missingAnswerFreesReservation {
			return ledger.Answer{Outcome: effect.Name(effect.NotRun{})}
		}
	}
	return message
}

func (w world) faultyCommand(command ledger.Command) ledger.Command {
	if _, ok := command.(ledger.Reserve); ok && w.fault == dispatchBeforeWrite {
		return ledger.Dispatch{Since: w.now(), Hold: hold}
	}
	return command
}
