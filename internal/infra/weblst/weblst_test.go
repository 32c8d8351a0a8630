package weblst_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/infra/hosts"
	"github.com/cicadamill/cicadamill/internal/infra/weblst"
	"github.com/cicadamill/cicadamill/internal/standin/lists"
)

func TestContract(t *testing.T) {
	ctx := context.Background()
	a := hosts.Host{Name: "a", Address: "127.0.0.1:1", DataCentre: "tema", Kind: "target"}
	tests := map[string]func(*testing.T, hosts.Client, *lists.List){
		"list lags until published": func(t *testing.T, c hosts.Client, l *lists.List) {
			l.Set()
			all, err := c.List(ctx)
			require.NoError(t, err)
			assert.Equal(t, []hosts.Host{a}, all)
			l.Publish()
			all, err = c.List(ctx)
			require.NoError(t, err)
			assert.Empty(t, all)
		},
		"outage": func(t *testing.T, c hosts.Client, l *lists.List) {
			l.SetDown(true)
			_, err := c.List(ctx)
			assert.Error(t, err)
		},
	}
	for name, test := range tests {
		t.Run("memory/"+name, func(t *testing.T) {
			list := lists.New(a)
			test(t, list, list)
		})
		t.Run("http/"+name, func(t *testing.T) {
			list := lists.New(a)
			server := httptest.NewServer(list.Handler())
			t.Cleanup(server.Close)
			test(t, weblst.New(server.Listener.Addr().String(), &http.Client{}), list)
		})
	}
}
