// Package hosts is the seam to the platform's list of hosts. The list lags
// behind reality.
package hosts

import "context"

// Client reads the list. It is safe for concurrent use.
type Client interface {
	// List returns every host that the platform knows.
	List(ctx context.Context) ([]Host, error)
}

// Host is one machine of the platform's list.
type Host struct {
	// Name is the stable name of the host.
	Name string `json:"name"`
	// Address is its IP number and port.
	Address string `json:"address"`
	// DataCentre is where it stands.
	DataCentre string `json:"dataCentre"`
	// Kind is "entry" for hosts of the router and "target" for all others.
	Kind string `json:"kind"`
	// Leaving is true when the platform is about to take the host away.
	Leaving bool `json:"leaving"`
}
