package crash

// Message is something that happened. It is one of [Place], [Seen], [Died],
// [Left], [Heard] or [Tick].
type Message interface{ message() }

// Place asks whether a request may start on an engine. It is answered by
// [Go], [Move] or [Refuse], later when a suspect has to wait.
type Place struct {
	// Job identifies the request.
	Job string
	// Fingerprint is the digest of workspace and content.
	Fingerprint uint64
	// Target is the engine's name.
	Target string
}

// Seen tells an engine's present incarnation.
type Seen struct {
	// Target is the engine's name.
	Target string
	// Incarnation identifies the engine's start.
	Incarnation string
	// Job is the request that this incarnation took; empty when it was learned
	// otherwise.
	Job string
}

// Died tells that an engine died under a request.
type Died struct {
	// Job identifies the request that ran on it.
	Job string
	// Target is the engine's name.
	Target string
	// Silent is true when the engine merely stopped answering, which makes
	// suspects but convicts none.
	Silent bool
}

// Left tells that a request no longer runs or waits on an engine.
type Left struct {
	// Job identifies the request.
	Job string
	// Fingerprint is the digest of workspace and content.
	Fingerprint uint64
	// Target is the engine's name.
	Target string
	// Finished is true when the engine gave its whole answer.
	Finished bool
}

// Heard brings entries of a peer.
type Heard struct {
	// Entries are the peer's entries.
	Entries []Entry
}

// Tick tells that time has passed.
type Tick struct{}

func (Place) message() {}
func (Seen) message()  {}
func (Died) message()  {}
func (Left) message()  {}
func (Heard) message() {}
func (Tick) message()  {}

// Command is the answer to a [Place]. It is one of [Go], [Move] or [Refuse].
type Command interface{ command() }

// Go starts the request on the engine that was asked for.
type Go struct {
	// Job identifies the request.
	Job string
	// Alone is true when the engine runs nothing else meanwhile.
	Alone bool
}

// Move sends the request to another engine: this one is kept for a suspect.
type Move struct {
	// Job identifies the request.
	Job string
}

// Refuse ends the request: it crashes engines.
type Refuse struct {
	// Job identifies the request.
	Job string
}

func (Go) command()     {}
func (Move) command()   {}
func (Refuse) command() {}
