package peers

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/caches"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/trail"
	"github.com/cicadamill/cicadamill/internal/safety/blame"
)

// Message is what one node tells another.
type Message struct {
	// From is the sender's name.
	From string `json:"from"`
	// Address is where the sender listens for peers.
	Address string `json:"address"`
	// DataCentre is where it stands, Strength its share of a core.
	DataCentre string  `json:"dataCentre,omitempty"`
	Strength   float64 `json:"strength,omitempty"`
	// Asks is true when the sender wants to be told of all nodes in the answer.
	Asks bool `json:"asks,omitempty"`
	// Probe is true when the sender only looks whether the receiver is there, and
	// says that it is itself.
	Probe bool `json:"probe,omitempty"`
	// Have is the place in the receiver's news up to which the sender knows them.
	Have Place `json:"have"`
	// Next is the place in the sender's news after this message.
	Next Place `json:"next"`
	// Report is the work that the sender knows of.
	Report pick.Report `json:"report"`
	// Wanted is the newest version of each model's weights that it knows.
	Wanted map[string]pick.Named `json:"wanted,omitempty"`
	// Emptied is the word of the holder of the lease for orders.
	Emptied *Emptied `json:"emptied,omitempty"`
	// Positions are how far the events of caches have been read.
	Positions map[string]caches.Position `json:"positions,omitempty"`
	// Crashes are the requests that crashed targets.
	Crashes []blame.Entry `json:"crashes,omitempty"`
	// Up are the names of nodes that are up; not in every message.
	Up []string `json:"up,omitempty"`
	// Tables are how well the sender knows the platform's tables, in answers.
	Tables map[string]Known `json:"tables,omitempty"`
	// Leaving is true when the sender ends.
	Leaving bool `json:"leaving,omitempty"`
}

// Place is a place in a node's news.
type Place struct {
	_ struct{} `cbor:",toarray"`
	// Parts is the place in the news of parts of prompts.
	Parts uint64
	// Positions is the place in the news of positions.
	Positions uint64
	// Crashes is the place in the news of crashes.
	Crashes uint64
}

// fresh is the place of a node that has been told nothing.
var fresh = Place{Parts: trail.Fresh, Positions: trail.Fresh, Crashes: trail.Fresh}

// Emptied names the targets that get no new work before they load weights.
type Emptied struct {
	// Fence is the fencing number of the holder.
	Fence uint64 `json:"fence"`
	// Targets are the targets' names.
	Targets []string `json:"targets"`
	// Age is how long ago the holder said so.
	Age time.Duration `json:"ageNanos,omitempty"`
}

// Known is how well a node knows a table of the platform.
type Known struct {
	_ struct{} `cbor:",toarray"`
	// Version is the version of the store up to which the table is known.
	Version uint64
	// Age is how long ago the store confirmed it.
	Age time.Duration
}
