package certs_test

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/certs"
	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/standin/pki"
)

func newAuthority(t *testing.T) *pki.Authority {
	t.Helper()
	authority, err := pki.New()
	require.NoError(t, err)
	return authority
}

// write creates key files with a new certificate that has the given serial number.
func write(t *testing.T, a *pki.Authority, directory string, serial int64) local.KeyFiles {
	t.Helper()
	files, err := a.Write(directory, serial)
	require.NoError(t, err)
	return files
}

func open(t *testing.T, names local.KeyFiles, warn func(error)) *certs.Files {
	t.Helper()
	files, err := certs.New(names, warn)
	require.NoError(t, err)
	return files
}

// handshake connects and returns the serial number of the server's certificate.
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

func TestBothSidesMustPresentACertificate(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	node := open(t, write(t, ours, t.TempDir(), 7), nil)
	untrusted := open(t, write(t, theirs, t.TempDir(), 8), nil)
	serial, err := handshake(t, node.Server(), node.Client())
	require.NoError(t, err)
	assert.EqualValues(t, 7, serial)
	_, err = handshake(t, node.Server(), untrusted.Client())
	require.Error(t, err, "server certificate of another CA")
	_, err = handshake(t, node.Server(), &tls.Config{InsecureSkipVerify: true})
	require.Error(t, err, "client without a certificate")
	client := untrusted.Client()
	client.VerifyConnection = nil
	_, err = handshake(t, node.Server(), client)
	require.Error(t, err, "client certificate of another CA")
}

func TestChangedFilesAreReloaded(t *testing.T) {
	a := newAuthority(t)
	directory := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		names := write(t, a, directory, 7)
		var warnings []error
		files := open(t, names, func(err error) { warnings = append(warnings, err) })
		write(t, a, directory, 8)
		time.Sleep(time.Second)
		serial, err := handshake(t, files.Server(), files.Client())
		require.NoError(t, err)
		assert.EqualValues(t, 8, serial)
		require.NoError(t, os.WriteFile(names.KeyFile, []byte("half a key"), 0o600))
		time.Sleep(time.Second)
		serial, err = handshake(t, files.Server(), files.Client())
		require.NoError(t, err, "the keys loaded before stay in use")
		assert.EqualValues(t, 8, serial)
		var keyFileError *certs.Error
		require.Len(t, warnings, 1)
		assert.ErrorAs(t, warnings[0], &keyFileError)
	})
}

func TestBadFiles(t *testing.T) {
	names := write(t, newAuthority(t), t.TempDir(), 7)
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
