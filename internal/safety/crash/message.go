package crash

// Message is an input of [State.Update]. It is one of [Place], [Seen], [Died],
// [Left], [Heard] or [Tick].
type Message interface{ message() }

// Place asks whether a request may start on an engine. The result is a [Go],
// [Move] or [Refuse]; it is delayed if the request is a suspect that must wait.
type Place struct {
	// Job identifies this run of the request.
	Job string
	// Fingerprint is a digest of the request's workspace and content. It is the
	// same when the request is sent again.
	Fingerprint uint64
	// Target is the engine's name.
	Target string
}

// Seen reports an engine's current incarnation.
type Seen struct {
	// Target is the engine's name.
	Target string
	// Incarnation changes with each start of the engine.
	Incarnation string
	// Job is the request that this incarnation accepted; empty if the incarnation
	// is known from elsewhere.
	Job string
}

// Died reports that an engine failed while it ran a request.
type Died struct {
	Job string
	// Target is the engine's name.
	Target string
	// Silent is true if the engine only stopped responding. All requests on it
	// become suspects, but none is convicted.
	Silent bool
}

// Left reports that a request no longer runs on or waits for an engine.
type Left struct {
	Job string
	// Fingerprint is that of the [Place].
	Fingerprint uint64
	// Target is the engine's name.
	Target string
	// Finished is true if the engine sent its complete answer.
	Finished bool
}

// Heard delivers the entries of a peer.
type Heard struct {
	Entries []Entry
}

// Tick removes expired entries and starts suspects that have waited too long.
type Tick struct{}

func (Place) message() {}
func (Seen) message()  {}
func (Died) message()  {}
func (Left) message()  {}
func (Heard) message() {}
func (Tick) message()  {}

// Command is the result of a [Place]. It is one of [Go], [Move] or [Refuse].
type Command interface{ command() }

// Go starts the request on the engine of the [Place].
type Go struct {
	Job string
	// Alone is true if the engine runs no other request meanwhile.
	Alone bool
}

// Move sends the request to another engine, because this one is reserved for a
// suspect.
type Move struct {
	Job string
}

// Refuse rejects the request, because it has been convicted of crashing engines.
type Refuse struct {
	Job string
}

func (Go) command()     {}
func (Move) command()   {}
func (Refuse) command() {}
