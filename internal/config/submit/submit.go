// Package submit decides how an operator's configuration becomes the accepted
// one: a compare-and-set against one row of the table, certain before it is
// called accepted, also when replies are lost.
package submit

import (
	"fmt"
	"time"
)

const (
	retryInterval = 200 * time.Millisecond
	keptVersions  = 2000
)

// Head is the row that says which version is accepted.
type Head struct {
	// Version is the accepted version.
	Version uint64 `json:"version"`
	// Sum is the digest of the configuration, see package delta.
	Sum string `json:"sum"`
	// Nonce identifies the submission that was accepted.
	Nonce string `json:"nonce"`
}

// Entry is the row that records one accepted version.
type Entry struct {
	// Version is the accepted version.
	Version uint64 `json:"version"`
	// Base is the version that the operator started from.
	Base uint64 `json:"base"`
	// Sum is the digest of the configuration.
	Sum string `json:"sum"`
	// Nonce identifies the submission.
	Nonce string `json:"nonce"`
	// Author is who submitted it.
	Author string `json:"author,omitempty"`
	// Time is when it was submitted.
	Time time.Time `json:"time"`
	// Text is the key of the operator's text in the object store.
	Text string `json:"text"`
}

// State is one submission under way.
type State struct {
	entry   Entry
	known   uint64
	until   time.Time
	row     uint64
	stored  bool
	unsure  bool
	waiting time.Time
	doing   Command
}

// ConflictError means that another version was accepted first, and that this
// submission surely was not.
type ConflictError struct {
	// Base is the version that the operator started from.
	Base uint64
	// Current is the newest accepted version.
	Current uint64
}

// Error returns a text for operators.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d was accepted after version %d, from which this text started", e.Current, e.Base)
}

// OutageError means that the platform did not answer in time.
type OutageError struct {
	// MayHaveApplied is true when the submission may have been accepted.
	MayHaveApplied bool
	// Message says what did not answer.
	Message string
}

// Error returns a text for operators.
func (e *OutageError) Error() string {
	if e.MayHaveApplied {
		return "not known whether the configuration was accepted: " + e.Message
	}
	return "the configuration was not accepted: " + e.Message
}

// New begins a submission that gives up at until. Known is the newest version
// that this node has in force: a table that was restored to an older state
// must not hand out that version again.
//
//	state, commands := submit.New(entry, applied.Version(), deadline)
func New(entry Entry, known uint64, until time.Time) (State, []Command) {
	entry.Version = entry.Base + 1
	s := State{entry: entry, known: known, until: until}
	return s.do(ReadHead{})
}

// Update takes what a command brought and returns what to do next.
func (s State) Update(now time.Time, message Message) (State, []Command) {
	switch m := message.(type) {
	case HeadRead:
		return s.headRead(m)
	case EntryRead:
		return s.entryRead(m)
	case TextStored:
		s.stored = true
		return s.commit()
	case Committed:
		return s.finish(nil)
	case Refused:
		return s.do(ReadHead{})
	case Lost:
		return s.lost(now, m)
	case Tick:
		return s.tick(now)
	default:
		return s, nil
	}
}

func (s State) headRead(m HeadRead) (State, []Command) {
	s.row = m.Row
	current := max(m.Head.Version, s.known)
	switch {
	case m.Head.Nonce == s.entry.Nonce:
		return s.finish(nil)
	case current == s.entry.Base && s.stored:
		return s.commit()
	case current == s.entry.Base:
		return s.do(StoreText{Key: s.entry.Text})
	case current < s.entry.Base:
		return s.finish(&ConflictError{Base: s.entry.Base, Current: current})
	default:
		return s.do(ReadEntry{Version: s.entry.Version, Current: current})
	}
}

// entryRead decides a race: the version that this submission would have got
// belongs to it or to another one.
func (s State) entryRead(m EntryRead) (State, []Command) {
	if m.Entry.Nonce == s.entry.Nonce {
		return s.finish(nil)
	}
	return s.finish(&ConflictError{Base: s.entry.Base, Current: m.Current})
}

// commit writes head and entry together. Repeating it is safe: the condition
// names the row's version, so that it takes effect at most once.
func (s State) commit() (State, []Command) {
	commit := Commit{
		IfRow: s.row, Entry: s.entry,
		Head: Head{Version: s.entry.Version, Sum: s.entry.Sum, Nonce: s.entry.Nonce},
	}
	if s.entry.Version > keptVersions {
		commit.Expire = s.entry.Version - keptVersions
	}
	return s.do(commit)
}

// lost retries until the time is up. After a commit that may have taken effect
// it reads the head first, which holds the nonce if it did.
func (s State) lost(now time.Time, m Lost) (State, []Command) {
	s.unsure = s.unsure || m.MayHaveApplied
	if !now.Before(s.until) {
		return s.finish(&OutageError{MayHaveApplied: s.unsure, Message: m.Reason})
	}
	if _, committing := s.doing.(Commit); committing {
		s.doing = ReadHead{}
	}
	s.waiting = now.Add(retryInterval)
	return s, nil
}

func (s State) tick(now time.Time) (State, []Command) {
	if s.waiting.IsZero() || now.Before(s.waiting) {
		return s, nil
	}
	s.waiting = time.Time{}
	return s.do(s.doing)
}

func (s State) do(command Command) (State, []Command) {
	s.doing = command
	return s, []Command{command}
}

func (s State) finish(err error) (State, []Command) {
	s.doing = nil
	return s, []Command{Finish{Version: s.entry.Version, Err: err}}
}
