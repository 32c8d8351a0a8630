// Package note defines what two nodes send each other in a gossip exchange.
// The sender limits every list in a note, so that its length doesn't grow with
// the fleet.
package note

// States of a node, in rising order of precedence within one incarnation.
const (
	// Alive means that the node responds.
	Alive = "alive"
	// Suspect means that some node could not reach it.
	Suspect = "suspect"
	// Leaving means that the node completes its work and takes on no new work.
	Leaving = "leaving"
	// Dead means that the node did not refute a suspicion in time.
	Dead = "dead"
)

// Note is the request or the response of an exchange.
type Note struct {
	// From is the sender's own entry.
	From Entry `json:"from"`
	// Digest is a hash of the sender's view. When the digests of two nodes
	// differ, they send each other repair entries in Repair.
	Digest uint64 `json:"digest"`
	// Joining is true when the sender has just started and needs a long list
	// of known nodes in the response.
	Joining bool `json:"joining,omitempty"`
	// Entries are recent changes to other nodes.
	Entries []Entry `json:"entries,omitempty"`
	// Repair are entries without recent changes, sent to a joining node or to
	// repair a view that differs.
	Repair []Entry `json:"known,omitempty"`
	// Versions are the configurations that other nodes have in force, by node
	// name.
	Versions map[string]uint64 `json:"versions,omitempty"`
	// Marks are targets that accept no new work.
	Marks []Mark `json:"marks,omitempty"`
	// Crashes are requests that crashed the engine that ran them.
	Crashes []Crash `json:"crashes,omitempty"`
}

// Entry describes one node.
type Entry struct {
	// Name is the node's stable name.
	Name string `json:"name"`
	// Address is the node's address as IP number and port.
	Address string `json:"address"`
	// DataCentre is the node's data centre.
	DataCentre string `json:"dataCentre"`
	// Incarnation rises with every start and every refutation; zero means that
	// the node is known only from the platform's list.
	Incarnation uint64 `json:"incarnation"`
	// State is one of [Alive], [Suspect], [Leaving] and [Dead].
	State string `json:"state"`
	// Version is the configuration that the node has in force.
	Version uint64 `json:"version,omitempty"`
	// ReportedBy names the node that reported the suspicion or death.
	ReportedBy string `json:"by,omitempty"`
}

// Mark reports that one incarnation of a target accepts no new work.
type Mark struct {
	// Target is the target's name.
	Target string `json:"target"`
	// Incarnation identifies the start of the target process.
	Incarnation string `json:"incarnation"`
}

// Crash is a request that was running when its engine crashed.
type Crash struct {
	// Fingerprint is a hash of the workspace and the content.
	Fingerprint uint64 `json:"fingerprint"`
	// Count is the number of engines that crashed while running it.
	Count int `json:"count"`
	// AgeMillis is the time since the last of these crashes.
	AgeMillis int64 `json:"ageMillis"`
}

// Precedence returns the precedence of a state within one incarnation, or zero for
// an unknown state.
func Precedence(state string) int {
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
