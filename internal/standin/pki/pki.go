// Package pki is a certificate authority for tests.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/config/local"
)

const fileMode = 0o600

// The validity period of certificates includes the virtual time of tests.
var (
	notBefore = time.Unix(0, 0)
	notAfter  = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)
)

// Authority signs certificates for both TLS servers and clients.
type Authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// New returns an authority with a new key.
//
//	authority, err := pki.New()
//	files, err := authority.Write(t.TempDir(), 7)
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Trace(err)
	}
	cert := template(1)
	cert.IsCA, cert.BasicConstraintsValid = true, true
	return &Authority{key: key, cert: cert}, nil
}

// Write creates a key and its certificate with the given serial number. It writes
// both and the authority's own certificate as PEM files into a directory.
func (a *Authority) Write(directory string, serial int64) (local.KeyFiles, error) {
	files := local.KeyFiles{
		CertFile: filepath.Join(directory, "cert.pem"), KeyFile: filepath.Join(directory, "key.pem"), CAFile: filepath.Join(directory, "ca.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, errors.Trace(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, errors.Trace(err)
	}
	signed, err := x509.CreateCertificate(rand.Reader, template(serial), a.cert, key.Public(), a.key)
	if err != nil {
		return files, errors.Trace(err)
	}
	root, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, a.key.Public(), a.key)
	if err != nil {
		return files, errors.Trace(err)
	}
	for _, file := range []struct {
		name, kind string
		bytes      []byte
	}{{files.CertFile, "CERTIFICATE", signed}, {files.CAFile, "CERTIFICATE", root}, {files.KeyFile, "PRIVATE KEY", encoded}} {
		block := pem.EncodeToMemory(&pem.Block{Type: file.kind, Bytes: file.bytes})
		if err := os.WriteFile(file.name, block, fileMode); err != nil {
			return files, errors.Trace(err)
		}
	}
	return files, nil
}

func template(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "stand-in"},
		NotBefore: notBefore, NotAfter: notAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}
