package peers

import (
	"github.com/cicadamill/cicadamill/internal/gate/caches"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/safety/blame"
)

// Message is what one node tells another.
type Message struct {
	// From is the sender's name.
	From string `json:"from"`
	// Address is where the sender listens for peers.
	Address string `json:"address"`
	// Report is its work.
	Report pick.Report `json:"report"`
	// Wanted is the newest version of each model's weights that it knows.
	Wanted map[string]pick.Named `json:"wanted,omitempty"`
	// Emptied is set by the holder of the lease for orders.
	Emptied *Emptied `json:"emptied,omitempty"`
	// Positions are how far the sender has read the events of caches.
	Positions map[string]caches.Position `json:"positions,omitempty"`
	// Crashes are the requests that crashed targets.
	Crashes []blame.Entry `json:"crashes,omitempty"`
	// Leaving is true when the sender ends.
	Leaving bool `json:"leaving,omitempty"`
}

// Emptied names the targets that get no new work before they load weights.
type Emptied struct {
	// Fence is the fencing number of the holder.
	Fence uint64 `json:"fence"`
	// Targets are the targets' names.
	Targets []string `json:"targets"`
}
