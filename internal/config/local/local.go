// Package local defines the settings of one node: its addresses, its data centre,
// and the addresses of its peers and of the platform.
package local

import (
	"encoding/json"
	"time"
)

// Settings are the settings of one node. All addresses are IP addresses with a port,
// and the node takes its own addresses only from here.
type Settings struct {
	// Name must stay the same across restarts.
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// CallerAddress is the address to listen on for callers.
	CallerAddress string `json:"callerAddress"`
	// PeerAddress is the address to listen on for other nodes.
	PeerAddress string `json:"peerAddress,omitempty"`
	// OperatorAddress is the address to listen on for operators; empty means no
	// listener.
	OperatorAddress string `json:"operatorAddress,omitempty"`
	// Peers are the addresses of other nodes to contact first.
	Peers []string `json:"peers,omitempty"`
	// TableAddress is the address of the platform's table service.
	TableAddress string `json:"tableAddress"`
	// ObjectAddress is the address of the platform's object store.
	ObjectAddress string `json:"objectAddress"`
	// HostsAddress is the address of the platform's host list.
	HostsAddress string `json:"hostsAddress"`
	// CallerTLS are the key files of the listener for callers; without them it
	// serves plain text.
	CallerTLS KeyFiles `json:"callerTls"`
	// PeerTLS are the key files for connections between nodes.
	PeerTLS KeyFiles `json:"peerTls"`
	// OperatorTLS are the key files of the listener for operators.
	OperatorTLS KeyFiles `json:"operatorTls"`
	Limits      Limits   `json:"limits"`
	Drain       Drain    `json:"drain"`
	Log         Log      `json:"log"`
	// Pprof enables the profiler on the listener for operators.
	Pprof bool `json:"pprof,omitempty"`
	// Bootstrap is the configuration to use until an accepted one can be read.
	Bootstrap json.RawMessage `json:"bootstrap,omitempty"`
	// BootstrapFile is the path of a file with that configuration, instead of
	// Bootstrap.
	BootstrapFile string `json:"bootstrapFile,omitempty"`
}

// KeyFiles are paths of PEM files. The files are reloaded when they change, so that
// keys can be rotated without a restart.
type KeyFiles struct {
	// CertFile holds the node's certificate chain.
	CertFile string `json:"certFile,omitempty"`
	// KeyFile holds the private key of the certificate.
	KeyFile string `json:"keyFile,omitempty"`
	// CAFile holds the CA certificates that verify the other side's certificate.
	CAFile string `json:"caFile,omitempty"`
}

// Configured reports whether any key file is configured.
func (k KeyFiles) Configured() bool { return k != KeyFiles{} }

// Limits bounds the size and duration of requests and the idle time of connections.
// Zero values mean the defaults.
type Limits struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64 `json:"bodyBytes,omitempty"`
	// HeaderBytes is the maximum size of a request header.
	HeaderBytes int `json:"headerBytes,omitempty"`
	// HeaderMillis is the timeout for reading the request header, in milliseconds.
	HeaderMillis int `json:"headerMillis,omitempty"`
	// BodyMillis is the timeout for reading the request body, in milliseconds.
	BodyMillis int `json:"bodyMillis,omitempty"`
	// IdleMillis is the timeout of a connection between requests, in milliseconds.
	IdleMillis int `json:"idleMillis,omitempty"`
}

// Defaults of [Limits].
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

// HeaderTimeout returns the timeout for reading a request header.
func (l Limits) HeaderTimeout() time.Duration { return millis(l.HeaderMillis) }

// BodyTimeout returns the timeout for reading a request body.
func (l Limits) BodyTimeout() time.Duration { return millis(l.BodyMillis) }

// IdleTimeout returns the timeout of a connection between requests.
func (l Limits) IdleTimeout() time.Duration { return millis(l.IdleMillis) }

// Drain configures the shutdown of a node.
type Drain struct {
	// BalancerLagMillis is how long the load balancer may keep sending requests after
	// the node reports that it is not ready, in milliseconds.
	BalancerLagMillis int `json:"balancerLagMillis,omitempty"`
	// LimitMillis is the maximum time to wait for requests in progress, in
	// milliseconds; zero means no limit.
	LimitMillis int `json:"limitMillis,omitempty"`
}

// BalancerLag returns how long the load balancer may keep sending requests.
func (d Drain) BalancerLag() time.Duration { return millis(d.BalancerLagMillis) }

// Limit returns the maximum time to wait for requests in progress; zero means no
// limit.
func (d Drain) Limit() time.Duration { return millis(d.LimitMillis) }

// Log configures the log output.
type Log struct {
	// Format is "text" or "json"; empty means "text".
	Format string `json:"format,omitempty"`
	// Level is "debug", "info", "warn" or "error"; empty means "info".
	Level string `json:"level,omitempty"`
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
