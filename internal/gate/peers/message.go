package peers

import (
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/caches"
	"github.com/cicadamill/cicadamill/internal/gate/credit"
	"github.com/cicadamill/cicadamill/internal/gate/needs"
	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/press"
	"github.com/cicadamill/cicadamill/internal/safety/poison"
)

// Message is a state update from one node to another.
type Message struct {
	// From is the sender's name.
	From string `json:"from"`
	// Address is where the sender listens for peers.
	Address string `json:"address"`
	// Start identifies the start of the sender's process.
	Start uint64 `json:"start,omitempty"`
	// DataCentre is the sender's data centre, Strength its share of a CPU core.
	DataCentre string  `json:"dataCentre,omitempty"`
	Strength   float64 `json:"strength,omitempty"`
	// WantsReply requests a response with the state of all nodes.
	WantsReply bool `json:"asks,omitempty"`
	// Probe marks a liveness check, which carries no state but announces the
	// sender.
	Probe bool `json:"probe,omitempty"`
	// Moved is true when the sender has another parent from now on, so that the receiver
	// no longer reports its load. It is set in probes, which older nodes ignore.
	Moved bool `json:"moved,omitempty"`
	// Have is the position in the receiver's logs up to which the sender has
	// received them.
	Have Cursor `json:"have"`
	// Next is the position in the sender's logs after this message.
	Next Cursor `json:"next"`
	// Report is the load on targets known to the sender.
	Report pick.Report `json:"report"`
	// Wanted is the newest weight version of each model known to the sender.
	Wanted map[string]pick.AnnouncedVersion `json:"wanted,omitempty"`
	// Superseded are earlier versions that were announced so recently that the
	// versions before them may still answer.
	Superseded map[string][]pick.AnnouncedVersion `json:"superseded,omitempty"`
	// Drained lists the targets that the holder of the order lease is draining.
	Drained *Drained `json:"emptied,omitempty"`
	// Positions is how far the event streams of caches have been read.
	Positions map[string]caches.Position `json:"positions,omitempty"`
	// Crashes lists requests that crashed targets.
	Crashes []poison.Crash `json:"crashes,omitempty"`
	// Survivals lists features of such requests that targets have answered since.
	Survivals []poison.Survival `json:"survivals,omitempty"`
	// Needs lists what targets said of themselves.
	Needs []needs.Report `json:"needs,omitempty"`
	// Pressure is the work that waits for targets.
	Pressure press.Report `json:"pressure,omitempty"`
	// Credit is the use of the limits of workspaces.
	Credit credit.Report `json:"credit"`
	// Up lists the nodes that are up. It is sent at an interval, not in every
	// message.
	Up []string `json:"up,omitempty"`
	// Tables is how current the sender's copies of the store's tables are. It is
	// set in responses only.
	Tables map[string]TableState `json:"tables,omitempty"`
	// Leaving is true when the sender is shutting down.
	Leaving bool `json:"leaving,omitempty"`
}

// Cursor is a position in each of a node's logs of updates. See [oplog.Log].
type Cursor struct {
	_ struct{} `cbor:",toarray"`
	// Parts is the position in the log of prompt parts.
	Parts uint64
	// Positions is the position in the log of cache event positions.
	Positions uint64
	// Crashes is the position in the log of crashes.
	Crashes uint64
	// Needs is the position in the log of what targets said of themselves.
	Needs uint64
	// Timing is the position in the log of how long targets took.
	Timing uint64
}

// latest is the initial position of a peer that gets only updates from now on.
var latest = Cursor{Parts: oplog.FromNow, Positions: oplog.FromNow, Crashes: oplog.FromNow, Needs: oplog.FromNow, Timing: oplog.FromNow}

// Drained lists the targets that get no new requests, so that they can load
// weights.
type Drained struct {
	// Fence is the fencing token of the lease holder that drains them.
	Fence uint64 `json:"fence"`
	// Targets are the IDs of the targets.
	Targets []string `json:"targets"`
	// Age is the time since the lease holder sent the list.
	Age time.Duration `json:"ageNanos,omitempty"`
}

// TableState is how current a node's copy of a table of the store is.
type TableState struct {
	_ struct{} `cbor:",toarray"`
	// Version is the store version of the copy.
	Version uint64
	// Age is the time since the store confirmed that version.
	Age time.Duration
}
