// Package local is a process's own settings: its addresses, its data centre
// and where to find its peers and the platform.
package local

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// Settings are a process's own. A process learns its addresses from here alone.
type Settings struct {
	// Name is the node's stable name.
	Name string `json:"name"`
	// DataCentre is where the node stands.
	DataCentre string `json:"dataCentre"`
	// CallerAddress is where callers connect, as IP number and port.
	CallerAddress string `json:"callerAddress"`
	// PeerAddress is where other nodes connect.
	PeerAddress string `json:"peerAddress"`
	// OperatorAddress is where operators connect.
	OperatorAddress string `json:"operatorAddress"`
	// Peers are addresses of other nodes to try first.
	Peers []string `json:"peers,omitempty"`
	// TableAddress is the platform's table service.
	TableAddress string `json:"tableAddress"`
	// ObjectAddress is the platform's object store.
	ObjectAddress string `json:"objectAddress"`
	// HostsAddress is the platform's host list.
	HostsAddress string `json:"hostsAddress"`
	// Pprof opens the profiler on the operators' listener.
	Pprof bool `json:"pprof,omitempty"`
	// Bootstrap is the configuration to start with when nothing else answers.
	Bootstrap json.RawMessage `json:"bootstrap,omitempty"`
}

// Parse reads settings: JSON with comments and trailing commas.
func Parse(text []byte) (Settings, error) {
	standard, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return Settings{}, errors.Annotate(err, "reading the settings")
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	var settings Settings
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, errors.Annotate(err, "reading the settings")
	}
	return settings, nil
}
