// Package note is what two nodes tell each other in one exchange. Every list in
// a note has a bound, so that its length does not grow with the fleet.
package note

// The states of a node, in rising order of precedence at one incarnation.
const (
	// Alive means that the node answers.
	Alive = "alive"
	// Suspect means that some node could not reach it.
	Suspect = "suspect"
	// Leaving means that the node finishes its work and takes over no duty.
	Leaving = "leaving"
	// Dead means that a suspicion was not refuted in time.
	Dead = "dead"
)

// Note is one half of an exchange.
type Note struct {
	// From is the sender's own entry.
	From Entry `json:"from"`
	// Digest summarises the sender's view; equal digests need no repair.
	Digest uint64 `json:"digest"`
	// Joining is true when the sender has just started and wants a long answer.
	Joining bool `json:"joining,omitempty"`
	// Entries are what the sender knows of other nodes, newest first.
	Entries []Entry `json:"entries,omitempty"`
	// Known are entries that are no news: they repair a view that differs.
	Known []Entry `json:"known,omitempty"`
	// Versions are the configurations that other nodes have in force, by name.
	Versions map[string]uint64 `json:"versions,omitempty"`
	// Marks are targets that want no new work.
	Marks []Mark `json:"marks,omitempty"`
	// Crashes are requests that crashed the engine which ran them.
	Crashes []Crash `json:"crashes,omitempty"`
}

// Entry is what is known of one node.
type Entry struct {
	// Name is the node's stable name.
	Name string `json:"name"`
	// Address is where other nodes reach it, as IP number and port.
	Address string `json:"address"`
	// DataCentre is where it stands.
	DataCentre string `json:"dataCentre"`
	// Incarnation rises with every start and every refutation; zero means that
	// the node is only known from a list.
	Incarnation uint64 `json:"incarnation"`
	// State is one of [Alive], [Suspect], [Leaving] and [Dead].
	State string `json:"state"`
	// Version is the configuration that the node has in force.
	Version uint64 `json:"version,omitempty"`
	// By names the node whose suspicion this is.
	By string `json:"by,omitempty"`
}

// Mark says that one start of a target wants no new work.
type Mark struct {
	// Target is the target's name.
	Target string `json:"target"`
	// Incarnation identifies the start of the target process.
	Incarnation string `json:"incarnation"`
}

// Crash is a request that was running when its engine died.
type Crash struct {
	// Fingerprint is the digest of workspace and content.
	Fingerprint uint64 `json:"fingerprint"`
	// Count is the number of engines that it took down.
	Count int `json:"count"`
	// AgeMillis is how long ago the last of them died.
	AgeMillis int64 `json:"ageMillis"`
}

// Rank returns the precedence of a state at one incarnation.
func Rank(state string) int {
	switch state {
	case Alive:
		return 1
	case Suspect:
		return 2
	case Leaving:
		return 3
	case Dead:
		return 4
	default:
		return 0
	}
}
