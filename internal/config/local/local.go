// Package local is a process's own settings: its addresses, its data centre
// and where to find its peers and the platform.
package local

import (
	"encoding/json"
	"time"
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
	PeerAddress string `json:"peerAddress,omitempty"`
	// OperatorAddress is where operators connect; empty means no listener.
	OperatorAddress string `json:"operatorAddress,omitempty"`
	// Peers are addresses of other nodes to try first.
	Peers []string `json:"peers,omitempty"`
	// TableAddress is the platform's table service.
	TableAddress string `json:"tableAddress"`
	// ObjectAddress is the platform's object store.
	ObjectAddress string `json:"objectAddress"`
	// HostsAddress is the platform's host list.
	HostsAddress string `json:"hostsAddress"`
	// CallerTLS are the key files of the callers' listener; without them
	// callers connect in plain text.
	CallerTLS KeyFiles `json:"callerTls"`
	// PeerTLS are the key files between nodes.
	PeerTLS KeyFiles `json:"peerTls"`
	// OperatorTLS are the key files of the operators' listener.
	OperatorTLS KeyFiles `json:"operatorTls"`
	// Limits bound what a connection may ask of this process.
	Limits Limits `json:"limits"`
	// Drain says how this process stops.
	Drain Drain `json:"drain"`
	// Log says how the log is written.
	Log Log `json:"log"`
	// Pprof opens the profiler on the operators' listener.
	Pprof bool `json:"pprof,omitempty"`
	// Bootstrap is the configuration to start with when nothing else answers.
	Bootstrap json.RawMessage `json:"bootstrap,omitempty"`
	// BootstrapFile is a file with that configuration, in place of Bootstrap.
	BootstrapFile string `json:"bootstrapFile,omitempty"`
}

// KeyFiles are paths of files in PEM form. They are read again when they
// change, so that keys can be replaced while the process runs.
type KeyFiles struct {
	// CertFile holds the process's certificate chain.
	CertFile string `json:"certFile,omitempty"`
	// KeyFile holds its private key.
	KeyFile string `json:"keyFile,omitempty"`
	// CAFile holds the certificates that must have signed the other side's.
	CAFile string `json:"caFile,omitempty"`
}

// Set tells whether key files are named at all.
func (k KeyFiles) Set() bool { return k != KeyFiles{} }

// Limits bound what a connection may ask. Zero values mean the defaults.
type Limits struct {
	// BodyBytes bounds the body of a request.
	BodyBytes int64 `json:"bodyBytes,omitempty"`
	// HeaderBytes bounds the head of a request.
	HeaderBytes int `json:"headerBytes,omitempty"`
	// HeaderMillis bounds the time in which the head must come, in milliseconds.
	HeaderMillis int `json:"headerMillis,omitempty"`
	// BodyMillis bounds the time in which the body must come, in milliseconds.
	BodyMillis int `json:"bodyMillis,omitempty"`
	// IdleMillis bounds how long a connection may wait between requests, in
	// milliseconds.
	IdleMillis int `json:"idleMillis,omitempty"`
}

// The defaults of [Limits].
const (
	defaultBodyBytes    = 8 << 20
	defaultHeaderBytes  = 64 << 10
	defaultHeaderMillis = 5_000
	defaultBodyMillis   = 30_000
	defaultIdleMillis   = 120_000
)

// WithDefaults returns the limits with each zero value replaced.
func (l Limits) WithDefaults() Limits {
	if l.BodyBytes == 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderBytes == 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.HeaderMillis == 0 {
		l.HeaderMillis = defaultHeaderMillis
	}
	if l.BodyMillis == 0 {
		l.BodyMillis = defaultBodyMillis
	}
	if l.IdleMillis == 0 {
		l.IdleMillis = defaultIdleMillis
	}
	return l
}

// HeaderTimeout returns the time in which the head of a request must come.
func (l Limits) HeaderTimeout() time.Duration { return millis(l.HeaderMillis) }

// BodyTimeout returns the time in which the body of a request must come.
func (l Limits) BodyTimeout() time.Duration { return millis(l.BodyMillis) }

// IdleTimeout returns how long a connection may wait between requests.
func (l Limits) IdleTimeout() time.Duration { return millis(l.IdleMillis) }

// Drain says how a process stops.
type Drain struct {
	// BalancerLagMillis is how long the balancer goes on sending after
	// readiness is off, in milliseconds.
	BalancerLagMillis int `json:"balancerLagMillis,omitempty"`
	// LimitMillis bounds the wait for requests under way, in milliseconds;
	// zero means no bound.
	LimitMillis int `json:"limitMillis,omitempty"`
}

// BalancerLag returns how long the balancer goes on sending.
func (d Drain) BalancerLag() time.Duration { return millis(d.BalancerLagMillis) }

// Limit returns the bound of the wait; zero means none.
func (d Drain) Limit() time.Duration { return millis(d.LimitMillis) }

// Log says how the log is written.
type Log struct {
	// Format is "text" or "json"; empty means text.
	Format string `json:"format,omitempty"`
	// Level is "debug", "info", "warn" or "error"; empty means info.
	Level string `json:"level,omitempty"`
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
