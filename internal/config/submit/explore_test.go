package submit_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/submit"
)

// maxFaults bounds the lost requests and replies in one execution, so that the
// state space stays finite.
const maxFaults = 3

var begin = time.Unix(1000, 0)

// world is one state of the state-space search: the operators, the table, and the
// commits that are still in flight although their senders stopped waiting.
type world struct {
	operators [3]operator
	row       uint64
	head      submit.Head
	entries   [4]string
	inFlight  []submit.Commit
	faults    int
}

type operator struct {
	state   submit.Submission
	command submit.Command
	finish  *submit.Finish
	nonce   string
	version uint64
}

func initialWorld() world {
	w := world{row: 7, head: submit.Head{Version: 1, Nonce: "first"}}
	for i, entry := range []submit.Entry{{Base: 1, Nonce: "a"}, {Base: 1, Nonce: "b"}, {Base: 2, Nonce: "c"}} {
		state, commands := submit.New(entry, 1, begin.Add(time.Hour))
		w.operators[i] = operator{state: state, command: commands[0], nonce: entry.Nonce, version: entry.Base + 1}
	}
	return w
}

// apply executes a commit like the table does.
func (w *world) apply(c submit.Commit) bool {
	if c.IfRowVersion != w.row {
		return false
	}
	w.row += 3
	w.head = c.Head
	w.entries[c.Entry.Version] = c.Entry.Nonce
	return true
}

// next returns all successor states.
func (w world) next() []world {
	var all []world
	for i, o := range w.operators {
		if o.finish == nil {
			all = append(all, w.operatorSteps(i)...)
		}
	}
	for i, commit := range w.inFlight {
		n := w
		n.inFlight = append(append([]submit.Commit{}, w.inFlight[:i]...), w.inFlight[i+1:]...)
		n.apply(commit)
		all = append(all, n)
	}
	return all
}

func (w world) operatorSteps(i int) []world {
	command := w.operators[i].command
	good := w
	all := []world{good.deliver(i, good.reply(command))}
	if w.faults == maxFaults {
		return all
	}
	w.faults++
	before := w
	all = append(all, before.deliver(i, submit.CommandFailed{Reason: "request lost"}))
	commit, ok := command.(submit.Commit)
	if !ok {
		return all
	}
	after := w
	after.apply(commit)
	all = append(all, after.deliver(i, submit.CommandFailed{Reason: "reply lost", MayHaveApplied: true}))
	delayed := w
	delayed.inFlight = append(append([]submit.Commit{}, w.inFlight...), commit)
	return append(all, delayed.deliver(i, submit.CommandFailed{Reason: "delayed", MayHaveApplied: true}))
}

func (w *world) reply(command submit.Command) submit.Message {
	switch c := command.(type) {
	case submit.ReadHead:
		return submit.HeadRead{RowVersion: w.row, Head: w.head}
	case submit.ReadEntry:
		return submit.EntryRead{Entry: submit.Entry{Nonce: w.entries[c.Version]}, Current: c.Current}
	case submit.StoreText:
		return submit.TextStored{}
	case submit.Commit:
		if w.apply(c) {
			return submit.Committed{}
		}
		return submit.ConditionFailed{}
	default:
		return nil
	}
}

func (w world) deliver(i int, message submit.Message) world {
	o := &w.operators[i]
	state, commands := o.state.Update(begin, message)
	if len(commands) == 0 {
		state, commands = state.Update(begin.Add(time.Minute), submit.Tick{})
	}
	o.state, o.command = state, commands[0]
	if finish, ok := commands[0].(submit.Finish); ok {
		o.finish = &finish
	}
	return w
}

// check verifies the invariant of a final state: each operator's result agrees with
// the table, and at most one submission owns each version.
func (w world) check() error {
	accepted := [4]int{}
	for _, o := range w.operators {
		owns := w.entries[o.version] == o.nonce
		var conflict *submit.ConflictError
		switch {
		case o.finish.Err == nil && !owns:
			return fmt.Errorf("%s was reported as accepted, but the table has %q", o.nonce, w.entries[o.version])
		case errors.As(o.finish.Err, &conflict) && owns:
			return fmt.Errorf("%s was reported as a conflict, but was accepted", o.nonce)
		case o.finish.Err == nil:
			accepted[o.version]++
		}
	}
	for version, nonce := range w.entries {
		if (nonce != "") != (accepted[version] == 1) {
			return fmt.Errorf("version %d belongs to %q, but was reported to %d submissions", version, nonce, accepted[version])
		}
	}
	return nil
}

func TestEveryOrderOfThreeOperators(t *testing.T) {
	seen := map[string]bool{}
	finalStates := 0
	unexplored := []world{initialWorld()}
	for len(unexplored) > 0 {
		w := unexplored[len(unexplored)-1]
		unexplored = unexplored[:len(unexplored)-1]
		key := fmt.Sprintf("%+v", w.key())
		if seen[key] {
			continue
		}
		seen[key] = true
		next := w.next()
		if w.finished() {
			require.NoError(t, w.check())
			finalStates++
		}
		unexplored = append(unexplored, next...)
	}
	t.Logf("%d states, %d final states", len(seen), finalStates)
	assert.Greater(t, finalStates, 10)
}

// finished reports whether all submissions have finished and no commit is in flight.
func (w world) finished() bool {
	for _, o := range w.operators {
		if o.finish == nil {
			return false
		}
	}
	return len(w.inFlight) == 0
}

// key identifies a state by its content, to visit each one only once.
func (w world) key() string {
	key := fmt.Sprint(w.row, w.head, w.entries, w.inFlight, w.faults)
	for _, o := range w.operators {
		finish := "running"
		if o.finish != nil {
			finish = fmt.Sprintf("%d %v", o.finish.Version, o.finish.Err)
		}
		key += fmt.Sprintf("|%+v %T %+v %s", o.state, o.command, o.command, finish)
	}
	return key
}

func TestRestoredTable(t *testing.T) {
	head := submit.HeadRead{RowVersion: 9, Head: submit.Head{Version: 40, Nonce: "old"}}
	state, _ := submit.New(submit.Entry{Base: 45, Nonce: "a"}, 45, begin.Add(time.Hour))
	state, _ = state.Update(begin, head)
	_, commands := state.Update(begin, submit.TextStored{})
	assert.EqualValues(t, 46, commands[0].(submit.Commit).Head.Version, "above every version that was active")

	state, _ = submit.New(submit.Entry{Base: 40, Nonce: "a"}, 45, begin.Add(time.Hour))
	state, commands = state.Update(begin, head)
	assert.Equal(t, submit.ReadEntry{Version: 41, Current: 45}, commands[0])
	_, commands = state.Update(begin, submit.EntryRead{Current: 45})
	var conflict *submit.ConflictError
	require.ErrorAs(t, commands[0].(submit.Finish).Err, &conflict)
	assert.EqualValues(t, 45, conflict.Current)
}

func TestTableDownUntilTimeout(t *testing.T) {
	for name, test := range map[string]struct{ lost, unsure bool }{"before the commit": {false, false}, "after the commit": {true, true}} {
		t.Run(name, func(t *testing.T) {
			state, _ := submit.New(submit.Entry{Base: 1, Nonce: "a"}, 1, begin.Add(time.Second))
			if test.lost {
				state, _ = state.Update(begin, submit.HeadRead{RowVersion: 7, Head: submit.Head{Version: 1}})
				state, _ = state.Update(begin, submit.TextStored{})
				state, _ = state.Update(begin, submit.CommandFailed{MayHaveApplied: true})
				state, _ = state.Update(begin.Add(time.Second), submit.Tick{})
			}
			_, commands := state.Update(begin.Add(time.Second), submit.CommandFailed{Reason: "down"})
			var outage *submit.OutageError
			require.ErrorAs(t, commands[0].(submit.Finish).Err, &outage)
			assert.Equal(t, test.unsure, outage.MayHaveApplied)
		})
	}
}
