package crash

// Message is an input of [State.Update]. It is one of [Admit], [Reported],
// [Crashed], [Ended], [Received] or [Tick].
type Message interface{ message() }

// Admit asks whether a request may start on an engine. The result is a [Start],
// [Move] or [Refuse]; it is delayed if the request is a suspect that must wait.
type Admit struct {
	// Job identifies this run of the request.
	Job string
	// Fingerprint is a digest of the request's workspace and content. It is the
	// same when the request is sent again.
	Fingerprint uint64
	// Target is the engine's name.
	Target string
}

// Reported reports an engine's current incarnation.
type Reported struct {
	// Target is the engine's name.
	Target string
	// Incarnation changes with each start of the engine.
	Incarnation string
	// Job is the request that this incarnation accepted; empty if the incarnation
	// is known from elsewhere.
	Job string
}

// Crashed reports that an engine failed while it ran a request.
type Crashed struct {
	Job string
	// Target is the engine's name.
	Target string
	// Silent is true if the engine only stopped responding. All requests on it
	// become suspects, but none is convicted.
	Silent bool
}

// Ended reports that a request no longer runs on or waits for an engine.
type Ended struct {
	Job string
	// Fingerprint is that of the [Admit].
	Fingerprint uint64
	// Target is the engine's name.
	Target string
	// Finished is true if the engine sent its complete answer.
	Finished bool
}

// Received delivers the entries of a peer.
type Received struct {
	Entries []Entry
}

// Tick removes expired entries and starts suspects that have waited too long.
type Tick struct{}

func (Admit) message()    {}
func (Reported) message() {}
func (Crashed) message()  {}
func (Ended) message()    {}
func (Received) message() {}
func (Tick) message()     {}

// Command is the result of an [Admit]. It is one of [Start], [Move] or [Refuse].
type Command interface{ command() }

// Start starts the request on the engine of the [Admit].
type Start struct {
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

func (Start) command()  {}
func (Move) command()   {}
func (Refuse) command() {}
