package server_test

import (
	"context"
	"crypto/tls"
	"net/http"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/admin"
	"github.com/cicadamill/cicadamill/internal/config/certs"
	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/node/server"
	"github.com/cicadamill/cicadamill/internal/standin/inproc"
	"github.com/cicadamill/cicadamill/internal/standin/pki"
)

// issueKeyFiles returns key files signed by an authority.
func issueKeyFiles(t *testing.T, authority *pki.Authority) local.KeyFiles {
	t.Helper()
	files, err := authority.Write(t.TempDir(), 7)
	require.NoError(t, err)
	return files
}

func newAuthority(t *testing.T) *pki.Authority {
	t.Helper()
	authority, err := pki.New()
	require.NoError(t, err)
	return authority
}

// clientWithCertificate returns an operators' client with a certificate signed by
// an authority.
func clientWithCertificate(t *testing.T, address string, authority *pki.Authority) *admin.Client {
	t.Helper()
	keys, err := certs.New(issueKeyFiles(t, authority), nil)
	require.NoError(t, err)
	return admin.New("https", address, &http.Client{Transport: &http.Transport{TLSClientConfig: keys.Client()}})
}

func TestListenersUseSeparateCertificates(t *testing.T) {
	nodes, operators, strangers := newAuthority(t), newAuthority(t), newAuthority(t)
	ctx, cancel := context.WithCancel(context.Background())
	site, _, err := inproc.New(ctx)
	require.NoError(t, err)
	ended := make(chan error, 2)
	run := func(name string, peers ...string) server.Addresses {
		caller := issueKeyFiles(t, nodes)
		caller.CAFile = ""
		node := server.New(local.Settings{
			Name: name, DataCentre: "local", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
			Peers: peers, Bootstrap: site.Config, TableAddress: site.TableAddress, ObjectAddress: site.ObjectAddress,
			CallerTLS: caller, PeerTLS: issueKeyFiles(t, nodes), OperatorTLS: issueKeyFiles(t, operators),
		}, hclog.NewNullLogger())
		go func(ctx context.Context) { ended <- node.Serve(ctx) }(ctx)
		return <-node.Ready()
	}
	first := run("node-1")
	second := run("node-2", first.Peer)
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
		assert.NoError(t, <-ended)
	})

	_, err = clientWithCertificate(t, first.Operator, operators).Submit(t.Context(), admin.Submission{Nonce: "n", Text: string(site.Config)})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		status, err := clientWithCertificate(t, second.Operator, operators).Status(t.Context())
		return err == nil && status.Version == 1
	}, applyTimeout, applyTimeout/50, "nodes propagate changes over their own TLS connections")

	for name, authority := range map[string]*pki.Authority{"stranger": strangers, "node": nodes} {
		_, err = clientWithCertificate(t, first.Operator, authority).Status(t.Context())
		assert.Error(t, err, name)
	}
	for name, address := range map[string]string{"operators": first.Operator, "peers": first.Peer} {
		_, err = admin.New("https", address, &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}).Status(t.Context())
		assert.Error(t, err, "%s without a certificate", name)
		_, err = admin.New("http", address, http.DefaultClient).Status(t.Context())
		assert.Error(t, err, "%s in plain text", name)
	}
	plain := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	response, err := plain.Get("https://" + first.Caller + "/healthz")
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, http.StatusOK, response.StatusCode, "callers need no client certificate")
}
