// Package submit is the protocol by which an operator's configuration becomes the
// accepted one: a compare-and-set of the head row in the table. A submission
// whose commit reply is lost reads the table again, so that it is reported as
// accepted or as a conflict only when that is certain.
package submit

import (
	"fmt"
	"time"
)

const (
	retryInterval = 200 * time.Millisecond
	// keptVersions is the number of accepted versions whose records are kept.
	keptVersions = 2000
)

// Head is the content of the head row, which names the accepted version.
type Head struct {
	Version uint64 `json:"version"`
	// Sum is the digest of the configuration, see package delta.
	Sum string `json:"sum"`
	// Nonce identifies the accepted submission.
	Nonce string `json:"nonce"`
}

// Entry is the record of one accepted version, a row of the table.
type Entry struct {
	Version uint64 `json:"version"`
	// Base is the version that the operator edited.
	Base uint64 `json:"base"`
	// Sum is the digest of the configuration, see package delta.
	Sum string `json:"sum"`
	// Nonce identifies the submission. It tells a repeated submission from a
	// competing one.
	Nonce  string `json:"nonce"`
	Author string `json:"author,omitempty"`
	// Time is when the configuration was submitted.
	Time time.Time `json:"time"`
	// TextKey is the key of the operator's text in the object store.
	TextKey string `json:"text"`
}

// Submission is one submission in progress. It performs no I/O: messages go in
// through [Submission.Update], and commands come out.
type Submission struct {
	entry Entry
	// newestActive is the newest version that this node has activated.
	newestActive uint64
	deadline     time.Time
	// rowVersion is the table's version of the head row at the last read.
	rowVersion uint64
	textStored bool
	// mayHaveApplied is true once a commit may have taken effect without a reply.
	mayHaveApplied bool
	// retryAt is the time of the next retry; zero when no retry is pending.
	retryAt time.Time
	// command is the command in progress, or the one to retry.
	command Command
}

// ConflictError means that the base of the submission is not the newest version.
// The submission was not accepted.
type ConflictError struct {
	// Base is the version that the operator edited.
	Base uint64
	// Current is the newest known version.
	Current uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d was accepted after version %d, from which this text started", e.Current, e.Base)
}

// OutageError means that the submission timed out because the table or the object
// store did not answer.
type OutageError struct {
	// MayHaveApplied is true when the submission may have been accepted.
	MayHaveApplied bool
	// Message is the text of the last error.
	Message string
}

func (e *OutageError) Error() string {
	if e.MayHaveApplied {
		return "not known whether the configuration was accepted: " + e.Message
	}
	return "the configuration was not accepted: " + e.Message
}

// New starts a submission that times out at the deadline. newestActive is the
// newest version that this node has activated: if the table is restored to an
// older state, that version must not be assigned again.
//
//	state, commands := submit.New(entry, applied.Version(), deadline)
func New(entry Entry, newestActive uint64, deadline time.Time) (Submission, []Command) {
	entry.Version = entry.Base + 1
	s := Submission{entry: entry, newestActive: newestActive, deadline: deadline}
	return s.emit(ReadHead{})
}

// Update processes a message and returns the new state and the commands to
// execute.
func (s Submission) Update(now time.Time, message Message) (Submission, []Command) {
	switch m := message.(type) {
	case HeadRead:
		return s.headRead(m)
	case EntryRead:
		return s.entryRead(m)
	case TextStored:
		s.textStored = true
		return s.commit()
	case Committed:
		return s.finish(nil)
	case ConditionFailed:
		return s.emit(ReadHead{})
	case CommandFailed:
		return s.lost(now, m)
	case Tick:
		return s.tick(now)
	default:
		return s, nil
	}
}

func (s Submission) headRead(m HeadRead) (Submission, []Command) {
	s.rowVersion = m.RowVersion
	current := max(m.Head.Version, s.newestActive)
	switch {
	case m.Head.Nonce == s.entry.Nonce:
		return s.finish(nil)
	case current == s.entry.Base && s.textStored:
		return s.commit()
	case current == s.entry.Base:
		return s.emit(StoreText{Key: s.entry.TextKey})
	case current < s.entry.Base:
		return s.finish(&ConflictError{Base: s.entry.Base, Current: current})
	default:
		return s.emit(ReadEntry{Version: s.entry.Version, Current: current})
	}
}

// entryRead resolves a race: the nonce in the record tells whether this submission
// or a competing one got the version.
func (s Submission) entryRead(m EntryRead) (Submission, []Command) {
	if m.Entry.Nonce == s.entry.Nonce {
		return s.finish(nil)
	}
	return s.finish(&ConflictError{Base: s.entry.Base, Current: m.Current})
}

// commit writes the head row and the record in one transaction. It can be repeated
// safely: the condition on the row version lets it take effect at most once.
func (s Submission) commit() (Submission, []Command) {
	commit := Commit{
		IfRowVersion: s.rowVersion, Entry: s.entry,
		Head: Head{Version: s.entry.Version, Sum: s.entry.Sum, Nonce: s.entry.Nonce},
	}
	if s.entry.Version > keptVersions {
		commit.ExpireVersion = s.entry.Version - keptVersions
	}
	return s.emit(commit)
}

// lost schedules a retry until the submission times out. After a lost commit it
// reads the head row first, which holds the nonce if the commit took effect.
func (s Submission) lost(now time.Time, m CommandFailed) (Submission, []Command) {
	s.mayHaveApplied = s.mayHaveApplied || m.MayHaveApplied
	if !now.Before(s.deadline) {
		return s.finish(&OutageError{MayHaveApplied: s.mayHaveApplied, Message: m.Reason})
	}
	if _, committing := s.command.(Commit); committing {
		s.command = ReadHead{}
	}
	s.retryAt = now.Add(retryInterval)
	return s, nil
}

func (s Submission) tick(now time.Time) (Submission, []Command) {
	if s.retryAt.IsZero() || now.Before(s.retryAt) {
		return s, nil
	}
	s.retryAt = time.Time{}
	return s.emit(s.command)
}

func (s Submission) emit(command Command) (Submission, []Command) {
	s.command = command
	return s, []Command{command}
}

func (s Submission) finish(err error) (Submission, []Command) {
	s.command = nil
	return s, []Command{Finish{Version: s.entry.Version, Err: err}}
}
