// Package certs keeps the key files of a listener or client and follows them
// when they are replaced, so that keys change without a restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/config/local"
)

// checkInterval is how often a handshake looks whether the files have changed.
const checkInterval = time.Second

// Files are key files and what was last read from them.
type Files struct {
	names local.KeyFiles
	warn  func(error)

	mu      sync.Mutex
	checked time.Time
	stamp   string
	pair    tls.Certificate
	pool    *x509.CertPool
}

// Error means that a key file can't be used.
type Error struct {
	// File is the path of the file.
	File string
	// Message says why.
	Message string
}

// Error returns a text for operators.
func (e *Error) Error() string { return fmt.Sprintf("key file %s: %s", e.File, e.Message) }

// New reads key files. When a later version can't be read, the earlier one
// stays in use and warn is told.
//
//	files, err := certs.New(settings.PeerTLS, func(err error) { logger.Warn("keys", "error", err) })
//	listener = tls.NewListener(listener, files.Server())
//	transport := &http.Transport{TLSClientConfig: files.Client()}
func New(names local.KeyFiles, warn func(error)) (*Files, error) {
	f := &Files{names: names, warn: warn}
	if err := f.load(); err != nil {
		return nil, err
	}
	f.stamp = f.currentStamp()
	f.checked = time.Now()
	return f, nil
}

// Server returns a configuration for a listener. With a CA file the client
// must show a certificate that one of its certificates signed.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := f.current()
			config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, NextProtos: []string{"h2", "http/1.1"}}
			if pool != nil {
				config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, pool
			}
			return config, nil
		},
	}
}

// Client returns a configuration for connecting. The server must show a
// certificate that the CA file signed; its address is not compared, because
// hosts are replaced at any time and have no names.
func (f *Files) Client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection checks the chain.
		VerifyConnection:   f.verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := f.current()
			return &pair, nil
		},
	}
}

func (f *Files) verify(state tls.ConnectionState) error {
	_, pool := f.current()
	if pool == nil {
		return &Error{File: f.names.CAFile, Message: "no certificates to check the server with"}
	}
	options := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Annotate(err, "checking the server's certificate")
}

// current returns what the files hold, after looking for changes.
func (f *Files) current() (tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.checked) >= checkInterval {
		f.checked = now
		f.refresh()
	}
	return f.pair, f.pool
}

func (f *Files) refresh() {
	stamp := f.currentStamp()
	if stamp == f.stamp {
		return
	}
	f.stamp = stamp
	if err := f.load(); err != nil {
		f.warn(err)
	}
}

// currentStamp changes whenever one of the files does.
func (f *Files) currentStamp() string {
	stamp := ""
	for _, name := range []string{f.names.CertFile, f.names.KeyFile, f.names.CAFile} {
		if info, err := os.Stat(name); err == nil {
			stamp += fmt.Sprint(info.Size(), info.ModTime().UnixNano(), " ")
		}
	}
	return stamp
}

func (f *Files) load() error {
	pair, err := tls.LoadX509KeyPair(f.names.CertFile, f.names.KeyFile)
	if err != nil {
		return &Error{File: f.names.CertFile + " with " + f.names.KeyFile, Message: err.Error()}
	}
	var pool *x509.CertPool
	if f.names.CAFile != "" {
		text, err := os.ReadFile(f.names.CAFile)
		if err != nil {
			return &Error{File: f.names.CAFile, Message: err.Error()}
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(text) {
			return &Error{File: f.names.CAFile, Message: "holds no certificate in PEM form"}
		}
	}
	f.pair, f.pool = pair, pool
	return nil
}
