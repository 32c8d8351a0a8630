// Package hosts defines the client interface of the platform's host list. The list
// may be out of date.
package hosts

import "context"

// Client reads the list. It is safe for concurrent use.
type Client interface {
	// List returns all hosts in the list.
	List(ctx context.Context) ([]Host, error)
}

// Host is one machine in the list.
type Host struct {
	// Name is the stable name of the host.
	Name string `json:"name"`
	// Address is its IP address and port.
	Address string `json:"address"`
	// DataCentre is the data centre of the host.
	DataCentre string `json:"dataCentre"`
	// Kind is "entry" for hosts of the router and "target" for all others.
	Kind string `json:"kind"`
	// Leaving is true when the platform is about to remove the host.
	Leaving bool `json:"leaving"`
}
