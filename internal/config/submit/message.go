package submit

// Message is what a command brought. It is one of [HeadRead], [EntryRead],
// [TextStored], [Committed], [Refused], [Lost] or [Tick].
type Message interface{ message() }

// HeadRead brings the head row.
type HeadRead struct {
	// Row is the version of the row itself; zero means that there is none.
	Row uint64
	// Head is its content.
	Head Head
}

// EntryRead brings the record of one version.
type EntryRead struct {
	// Entry is the record; its nonce is empty when there is none.
	Entry Entry
	// Current is the newest accepted version.
	Current uint64
}

// TextStored tells that the text is in the object store.
type TextStored struct{}

// Committed tells that the transaction surely took effect.
type Committed struct{}

// Refused tells that a condition failed and this attempt wrote nothing.
type Refused struct{}

// Lost tells that a command got no usable reply.
type Lost struct {
	// Reason says what did not answer.
	Reason string
	// MayHaveApplied is true when it was a commit that may have taken effect.
	MayHaveApplied bool
}

// Tick tells that time has passed.
type Tick struct{}

func (HeadRead) message()   {}
func (EntryRead) message()  {}
func (TextStored) message() {}
func (Committed) message()  {}
func (Refused) message()    {}
func (Lost) message()       {}
func (Tick) message()       {}

// Command is what a submission wants done. It is one of [ReadHead],
// [ReadEntry], [StoreText], [Commit] or [Finish].
type Command interface{ command() }

// ReadHead reads the head row.
type ReadHead struct{}

// ReadEntry reads the record of one version.
type ReadEntry struct {
	// Version is the version.
	Version uint64
	// Current is to be handed back with the record.
	Current uint64
}

// StoreText puts the operator's text into the object store.
type StoreText struct {
	// Key is the object's key.
	Key string
}

// Commit writes head and record in one transaction.
type Commit struct {
	// IfRow is the version that the head row must have.
	IfRow uint64
	// Head is the new head.
	Head Head
	// Entry is the new record.
	Entry Entry
	// Expire is a version whose record goes; zero means none.
	Expire uint64
}

// Finish ends the submission.
type Finish struct {
	// Version is the accepted version, when Err is nil.
	Version uint64
	// Err is a [*ConflictError] or an [*OutageError].
	Err error
}

func (ReadHead) command()  {}
func (ReadEntry) command() {}
func (StoreText) command() {}
func (Commit) command()    {}
func (Finish) command()    {}
