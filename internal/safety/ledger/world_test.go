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
	retention = 2 // ticks of one hold
)

// planted is a fault put into the world around the slice, to show that the
// check can fail.
type planted int

const (
	none planted = iota
	dispatchBeforeWrite
	lostTakenForDone
	writeWithoutCondition
	nonceNotCompared
	boundNotRechecked
	silenceFreesReservation
	freedBeforeDispatch
	unknownToldAsNotRun
)

type kept int

const (
	keptNothing kept = iota
	keptAnswered
	keptNotRun
	keptUnknown
)

type pending struct {
	kind    string
	version uint64
	nonce   int
	bound   ledger.Dispatch
}

// owner is one try of one key at one node.
type owner struct {
	state   ledger.State
	pending pending
	dead    bool
	keep    kept
	// delayed is a reservation that is still under way to the table.
	delayed        bool
	delayedVersion uint64
	ran            int
	told           kept
}

// world is the table, the target and every owner. It is comparable.
type world struct {
	fault   planted
	tick    int
	faults  int
	crashes int
	owners  [owners]owner
	holder  int // one more than the index of the reservation's owner
	version uint64
	lastVer uint64
	made    int // tick of the reservation
	answers [owners]kept
	runs    int
	expired int
	foreign bool // an owner dispatched without holding the row
}

func start(fault planted, count, faults, crashes int) world {
	w := world{fault: fault, faults: faults, crashes: crashes}
	for i := range count {
		call := ledger.Call{Row: "row", Digest: "same", Nonce: strconv.Itoa(i)}
		w.owners[i].state = ledger.New(call, ledger.Limits{Hold: hold, Patience: hold})
		w.owners[i].pending = pending{kind: "begin"}
	}
	return w
}

func (w world) now() time.Time { return time.Unix(0, 0).Add(time.Duration(w.tick) * hold) }

// check is the invariant.
func (w world) check() error {
	switch {
	case w.runs > 1+w.expired:
		return errors.New("the effect ran twice")
	case w.foreign:
		return errors.New("an owner dispatched without holding the reservation")
	}
	for _, o := range w.owners {
		switch {
		case o.ran > 1:
			return errors.New("an owner dispatched twice")
		case o.told == keptNotRun && o.ran > 0:
			return errors.New("a caller was told not run of a request that ran")
		case o.told == keptAnswered && w.runs == 0:
			return errors.New("a caller got an answer without an effect")
		}
	}
	return nil
}

// next lists every step that the world may take.
func (w world) next() []world {
	var all []world
	if w.tick < 3 {
		passed := w
		passed.tick++
		all = append(all, passed)
	}
	if w.holder > 0 && w.tick-w.made >= retention && w.expired == 0 {
		swept := w
		swept.holder, swept.version = 0, 0
		swept.expired++
		all = append(all, swept)
	}
	for i, o := range w.owners {
		if o.delayed {
			all = append(all, w.land(i))
		}
		if !o.dead {
			all = append(all, w.stepsOf(i)...)
		}
	}
	return all
}

func (w world) stepsOf(i int) []world {
	o := w.owners[i]
	var all []world
	if o.keep != keptNothing {
		stored := w
		stored.answers[i] = o.keep
		stored.owners[i].keep = keptNothing
		all = append(all, stored)
	}
	if w.crashes > 0 && o.pending.kind != "" && o.pending.kind != "begin" {
		crashed := w
		crashed.crashes--
		crashed.owners[i].dead = true
		crashed.owners[i].pending = pending{}
		all = append(all, crashed)
	}
	switch o.pending.kind {
	case "begin":
		all = append(all, w.tell(i, ledger.Begin{}))
	case "reserve":
		all = append(all, w.reserves(i)...)
	case "read":
		all = append(all, w.reads(i, w.row())...)
	case "readAnswer":
		all = append(all, w.reads(i, w.answer(o.pending.nonce))...)
	case "wait":
		all = append(all, w.tell(i, ledger.Woke{}))
	case "dispatch":
		all = append(all, w.dispatches(i)...)
	}
	return all
}

func (w world) reserves(i int) []world {
	var all []world
	applied, ok := w.apply(i, w.owners[i].pending.version)
	if ok {
		all = append(all, applied.tell(i, ledger.Reserved{}))
	} else {
		all = append(all, w.tell(i, ledger.Conflicted{}))
	}
	if w.faults == 0 {
		return all
	}
	w.faults--
	applied.faults = w.faults
	late := w
	late.owners[i].delayed = true
	late.owners[i].delayedVersion = w.owners[i].pending.version
	return append(all, applied.tell(i, ledger.Lost{}), w.tell(i, ledger.Lost{}), late.tell(i, ledger.Lost{}), w.tell(i, ledger.Down{}))
}

// apply runs a conditional write at the table.
func (w world) apply(i int, version uint64) (world, bool) {
	if w.version != version && w.fault != writeWithoutCondition {
		return w, false
	}
	w.lastVer++
	w.holder, w.version, w.made = i+1, w.lastVer, w.tick
	return w, true
}

func (w world) land(i int) world {
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
	case keptAnswered:
		return ledger.Answer{Ran: effect.Name(effect.Answered{})}
	case keptNotRun:
		return ledger.Answer{Ran: effect.Name(effect.NotRun{})}
	case keptUnknown:
		return ledger.Answer{Ran: effect.Name(effect.Unknown{})}
	default:
		return ledger.NoAnswer{}
	}
}

func (w world) reads(i int, result ledger.Message) []world {
	all := []world{w.tell(i, result)}
	if w.faults > 0 {
		w.faults--
		all = append(all, w.tell(i, ledger.Down{}))
	}
	return all
}

func (w world) dispatches(i int) []world {
	bound := w.owners[i].pending.bound
	if bound.Late(w.now()) && w.fault != boundNotRechecked {
		return []world{w.tell(i, ledger.Finished{Outcome: effect.NotRun{}, Code: "late"})}
	}
	refused := w.tell(i, ledger.Finished{Outcome: effect.NotRun{}, Code: "refused"})
	vanished := w.tell(i, ledger.Finished{Outcome: effect.Unknown{}, Code: "vanished"})
	w.foreign = w.foreign || w.holder != i+1
	w.runs++
	w.owners[i].ran++
	return []world{
		refused, vanished,
		w.tell(i, ledger.Finished{Outcome: effect.Answered{}, Answer: ledger.Answer{Ran: effect.Name(effect.Answered{})}}),
		w.tell(i, ledger.Finished{Outcome: effect.Unknown{}, Code: "broken"}),
	}
}

// tell hands a message to an owner's slice and takes its commands.
func (w world) tell(i int, message ledger.Message) world {
	o := &w.owners[i]
	o.pending = pending{}
	var commands []ledger.Command
	o.state, commands = o.state.Update(w.now(), w.twistMessage(i, message))
	for _, command := range commands {
		w.run(i, w.twistCommand(command))
	}
	return w
}

func (w *world) run(i int, command ledger.Command) {
	o := &w.owners[i]
	switch c := command.(type) {
	case ledger.Reserve:
		o.pending = pending{kind: "reserve", version: c.IfVersion}
		if w.fault == freedBeforeDispatch {
			o.keep = keptNotRun
		}
	case ledger.Read:
		o.pending = pending{kind: "read"}
	case ledger.ReadAnswer:
		nonce, _ := strconv.Atoi(c.Nonce)
		o.pending = pending{kind: "readAnswer", nonce: nonce}
	case ledger.Wait:
		o.pending = pending{kind: "wait"}
	case ledger.Dispatch:
		o.pending = pending{kind: "dispatch", bound: c}
	case ledger.Keep:
		o.keep = keptOf(effect.Parse(c.Answer.Ran, ""))
	case ledger.Reply:
		o.told = keptAnswered
	case ledger.Refuse:
		o.told = keptOf(c.Outcome)
		if w.fault == unknownToldAsNotRun {
			o.told = keptNotRun
		}
	}
}

func keptOf(outcome effect.Outcome) kept {
	switch outcome.(type) {
	case effect.Answered:
		return keptAnswered
	case effect.NotRun:
		return keptNotRun
	default:
		return keptUnknown
	}
}

func (w world) twistMessage(i int, message ledger.Message) ledger.Message {
	switch m := message.(type) {
	case ledger.Lost:
		if w.fault == lostTakenForDone {
			return ledger.Reserved{}
		}
	case ledger.Row:
		if w.fault == nonceNotCompared {
			m.Record.Nonce = strconv.Itoa(i)
			return m
		}
	case ledger.NoAnswer:
		if w.fault == silenceFreesReservation {
			return ledger.Answer{Ran: effect.Name(effect.NotRun{})}
		}
	}
	return message
}

func (w world) twistCommand(command ledger.Command) ledger.Command {
	if _, ok := command.(ledger.Reserve); ok && w.fault == dispatchBeforeWrite {
		return ledger.Dispatch{Since: w.now(), Hold: hold}
	}
	return command
}
