package submit

// Message is the result of a command, or a timer event. It is one of [HeadRead],
// [EntryRead], [TextStored], [Committed], [ConditionFailed], [CommandFailed] or
// [Tick].
type Message interface{ message() }

// HeadRead is the result of [ReadHead].
type HeadRead struct {
	// RowVersion is the table's version of the head row; zero means that the row is
	// missing. It differs from the configuration version in Head.
	RowVersion uint64
	Head       Head
}

// EntryRead is the result of [ReadEntry].
type EntryRead struct {
	// Entry is the record; its nonce is empty when the record is missing.
	Entry Entry
	// Current is copied from [ReadEntry].
	Current uint64
}

// TextStored confirms that the text is in the object store.
type TextStored struct{}

// Committed confirms that the transaction took effect.
type Committed struct{}

// ConditionFailed reports that the condition on the head row failed. This attempt
// wrote nothing.
type ConditionFailed struct{}

// CommandFailed reports that a command failed or that its reply was lost.
type CommandFailed struct {
	// Reason is the text of the error.
	Reason string
	// MayHaveApplied is true for a commit that may have taken effect.
	MayHaveApplied bool
}

// Tick lets a due retry start.
type Tick struct{}

func (HeadRead) message()        {}
func (EntryRead) message()       {}
func (TextStored) message()      {}
func (Committed) message()       {}
func (ConditionFailed) message() {}
func (CommandFailed) message()   {}
func (Tick) message()            {}

// Command is an action that the caller of [Submission.Update] must execute. It is
// one of [ReadHead], [ReadEntry], [StoreText], [Commit] or [Finish].
type Command interface{ command() }

// ReadHead reads the head row.
type ReadHead struct{}

// ReadEntry reads the record of an accepted version.
type ReadEntry struct {
	Version uint64
	// Current is the newest known version, to be returned in [EntryRead].
	Current uint64
}

// StoreText puts the operator's text into the object store.
type StoreText struct {
	// Key is the object's key in the store.
	Key string
}

// Commit writes the head row and the record in one transaction.
type Commit struct {
	// IfRowVersion is the row version that the head row must still have.
	IfRowVersion uint64
	Head         Head
	Entry        Entry
	// ExpireVersion is an old version whose record is deleted; zero means none.
	ExpireVersion uint64
}

// Finish returns the outcome of the submission. No command follows it.
type Finish struct {
	// Version is the accepted version if Err is nil.
	Version uint64
	// Err is a [*ConflictError] or an [*OutageError].
	Err error
}

func (ReadHead) command()  {}
func (ReadEntry) command() {}
func (StoreText) command() {}
func (Commit) command()    {}
func (Finish) command()    {}
