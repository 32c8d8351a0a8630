package certs_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/certs"
	"github.com/cicadamill/cicadamill/internal/config/local"
)

// authority signs certificates for tests.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	cert := template(1)
	cert.IsCA, cert.BasicConstraintsValid = true, true
	return authority{t: t, key: key, cert: cert}
}

func template(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// write puts a new certificate with this serial number into the directory.
func (a authority) write(directory string, serial int64) local.KeyFiles {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	signed, err := x509.CreateCertificate(rand.Reader, template(serial), a.cert, key.Public(), a.key)
	require.NoError(a.t, err)
	root, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, a.key.Public(), a.key)
	require.NoError(a.t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(a.t, err)
	files := local.KeyFiles{
		CertFile: filepath.Join(directory, "cert.pem"), KeyFile: filepath.Join(directory, "key.pem"), CAFile: filepath.Join(directory, "ca.pem"),
	}
	for name, block := range map[string]*pem.Block{
		files.CertFile: {Type: "CERTIFICATE", Bytes: signed}, files.CAFile: {Type: "CERTIFICATE", Bytes: root},
		files.KeyFile: {Type: "PRIVATE KEY", Bytes: encoded},
	} {
		require.NoError(a.t, os.WriteFile(name, pem.EncodeToMemory(block), 0o600))
	}
	return files
}

func open(t *testing.T, names local.KeyFiles, warn func(error)) *certs.Files {
	t.Helper()
	files, err := certs.New(names, warn)
	require.NoError(t, err)
	return files
}

// handshake connects and returns the serial number that the server showed.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan error, 1)
	go func() { accepted <- accept(listener) }()
	connection, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		<-accepted
		return 0, err
	}
	defer func() { _ = connection.Close() }()
	return connection.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), <-accepted
}

func accept(listener net.Listener) error {
	connection, err := listener.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	return connection.(*tls.Conn).Handshake()
}

func TestBothSidesMustShowACertificate(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	node := open(t, ours.write(t.TempDir(), 7), nil)
	stranger := open(t, theirs.write(t.TempDir(), 8), nil)
	serial, err := handshake(t, node.Server(), node.Client())
	require.NoError(t, err)
	assert.EqualValues(t, 7, serial)
	_, err = handshake(t, node.Server(), stranger.Client())
	require.Error(t, err, "server of another authority")
	_, err = handshake(t, node.Server(), &tls.Config{InsecureSkipVerify: true})
	require.Error(t, err, "client without a certificate")
	client := stranger.Client()
	client.VerifyConnection = nil
	_, err = handshake(t, node.Server(), client)
	require.Error(t, err, "client of another authority")
}

func TestFilesAreFollowed(t *testing.T) {
	a := newAuthority(t)
	directory := t.TempDir()
	names := a.write(directory, 7)
	synctest.Test(t, func(t *testing.T) {
		var warnings []error
		files := open(t, names, func(err error) { warnings = append(warnings, err) })
		a.write(directory, 8)
		time.Sleep(time.Second)
		serial, err := handshake(t, files.Server(), files.Client())
		require.NoError(t, err)
		assert.EqualValues(t, 8, serial)
		require.NoError(t, os.WriteFile(names.KeyFile, []byte("half a key"), 0o600))
		time.Sleep(time.Second)
		serial, err = handshake(t, files.Server(), files.Client())
		require.NoError(t, err, "the earlier keys stay in use")
		assert.EqualValues(t, 8, serial)
		var failure *certs.Error
		require.Len(t, warnings, 1)
		assert.ErrorAs(t, warnings[0], &failure)
	})
}

func TestBadFiles(t *testing.T) {
	names := newAuthority(t).write(t.TempDir(), 7)
	missing, empty := names, names
	missing.CertFile += ".missing"
	empty.CAFile = names.KeyFile
	for name, files := range map[string]local.KeyFiles{"missing": missing, "no certificate": empty} {
		t.Run(name, func(t *testing.T) {
			_, err := certs.New(files, nil)
			var failure *certs.Error
			assert.ErrorAs(t, err, &failure)
		})
	}
}
