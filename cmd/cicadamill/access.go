package main

import (
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/cicadamill/cicadamill/internal/config/admin"
	"github.com/cicadamill/cicadamill/internal/config/certs"
	"github.com/cicadamill/cicadamill/internal/config/local"
)

const operatorTimeout = 30 * time.Second

// access holds the flags for the connection to a node's operator API.
type access struct {
	Node string `arg:"--node" default:"127.0.0.1:8082" help:"operators' address of any node" placeholder:"ADDRESS"`
	Cert string `arg:"--cert" help:"file with the operator's certificate" placeholder:"FILE"`
	Key  string `arg:"--key" help:"file with the operator's private key" placeholder:"FILE"`
	CA   string `arg:"--ca" help:"file with the certificates that sign the nodes'" placeholder:"FILE"`
}

// client returns a client, which uses TLS if key files are given.
func (a access) client() (*admin.Client, error) {
	if _, err := netip.ParseAddrPort(a.Node); err != nil {
		return nil, &exitError{Code: exitUsage, Err: errors.New("--node must be an IP number with a port, such as 10.0.0.1:8082")}
	}
	files := local.KeyFiles{CertFile: a.Cert, KeyFile: a.Key, CAFile: a.CA}
	if !files.Configured() {
		return admin.New("http", a.Node, &http.Client{Timeout: operatorTimeout}), nil
	}
	if a.Cert == "" || a.Key == "" || a.CA == "" {
		return nil, &exitError{Code: exitUsage, Err: errors.New("--cert, --key and --ca must be given together")}
	}
	keys, err := certs.New(files, func(error) {})
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{TLSClientConfig: keys.Client()}
	return admin.New("https", a.Node, &http.Client{Timeout: operatorTimeout, Transport: transport}), nil
}
