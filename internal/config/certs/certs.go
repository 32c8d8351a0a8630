// Package certs loads the TLS key files of a listener or client and reloads them when
// they change, so that keys can be rotated without a restart.
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

// checkInterval is the minimum time between checks for changed files. Only handshakes
// trigger a check.
const checkInterval = time.Second

// Files holds the content of key files and reloads it when they change. It is safe for
// concurrent use.
type Files struct {
	paths local.KeyFiles
	warn  func(error)

	mu sync.Mutex
	// checkedAt is the time of the last check for changes.
	checkedAt time.Time
	// stamp is the result of fileStamp at the last load or attempt to load.
	stamp       string
	certificate tls.Certificate
	caPool      *x509.CertPool
}

// Error means that a key file can't be read or is invalid.
type Error struct {
	// File is the path of the file.
	File string
	// Message is the reason.
	Message string
}

func (e *Error) Error() string { return fmt.Sprintf("key file %s: %s", e.File, e.Message) }

// New loads key files. If a reload fails later, the files loaded before stay in use
// and warn is called with the error.
//
//	files, err := certs.New(settings.PeerTLS, func(err error) { logger.Warn("reloading the key files failed", "error", err) })
//	listener = tls.NewListener(listener, files.Server())
//	transport := &http.Transport{TLSClientConfig: files.Client()}
func New(paths local.KeyFiles, warn func(error)) (*Files, error) {
	f := &Files{paths: paths, warn: warn}
	if err := f.load(); err != nil {
		return nil, err
	}
	f.stamp = f.fileStamp()
	f.checkedAt = time.Now()
	return f, nil
}

// Server returns the TLS configuration of a listener. If a CA file is set, clients must
// present a certificate signed by one of its CAs.
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

// Client returns the TLS configuration of a client. The server must present a
// certificate signed by a CA of the CA file. Its host name is not verified, because
// hosts have no names and their addresses change when they are replaced.
func (f *Files) Client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection verifies the chain.
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
		return &Error{File: f.paths.CAFile, Message: "no CA file is set to verify the server certificate"}
	}
	options := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Annotate(err, "verifying the server certificate")
}

// current returns the certificate and the CA pool. It reloads changed files first.
func (f *Files) current() (tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.checkedAt) >= checkInterval {
		f.checkedAt = now
		f.refresh()
	}
	return f.certificate, f.caPool
}

func (f *Files) refresh() {
	stamp := f.fileStamp()
	if stamp == f.stamp {
		return
	}
	f.stamp = stamp
	if err := f.load(); err != nil {
		f.warn(err)
	}
}

// fileStamp returns the sizes and modification times of the files.
func (f *Files) fileStamp() string {
	stamp := ""
	for _, name := range []string{f.paths.CertFile, f.paths.KeyFile, f.paths.CAFile} {
		if info, err := os.Stat(name); err == nil {
			stamp += fmt.Sprint(info.Size(), info.ModTime().UnixNano(), " ")
		}
	}
	return stamp
}

func (f *Files) load() error {
	pair, err := tls.LoadX509KeyPair(f.paths.CertFile, f.paths.KeyFile)
	if err != nil {
		return &Error{File: f.paths.CertFile + " with " + f.paths.KeyFile, Message: err.Error()}
	}
	var pool *x509.CertPool
	if f.paths.CAFile != "" {
		encoded, err := os.ReadFile(f.paths.CAFile)
		if err != nil {
			return &Error{File: f.paths.CAFile, Message: err.Error()}
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(encoded) {
			return &Error{File: f.paths.CAFile, Message: "contains no PEM certificate"}
		}
	}
	f.certificate, f.caPool = pair, pool
	return nil
}
