package webobj_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/infra/object"
	"github.com/cicadamill/cicadamill/internal/infra/webobj"
	"github.com/cicadamill/cicadamill/internal/standin/objs"
)

func TestContract(t *testing.T) {
	ctx := context.Background()
	tests := map[string]func(*testing.T, object.Client, *objs.Store){
		"stored object is read back": func(t *testing.T, c object.Client, _ *objs.Store) {
			require.NoError(t, c.Put(ctx, "a/b c", []byte("v")))
			value, err := c.Get(ctx, "a/b c")
			require.NoError(t, err)
			assert.Equal(t, "v", string(value))
		},
		"missing object": func(t *testing.T, c object.Client, _ *objs.Store) {
			_, err := c.Get(ctx, "a")
			var missing *object.NotFoundError
			assert.ErrorAs(t, err, &missing)
		},
		"deleting a missing object": func(t *testing.T, c object.Client, _ *objs.Store) {
			require.NoError(t, c.Put(ctx, "a", nil))
			require.NoError(t, c.Delete(ctx, "a"))
			require.NoError(t, c.Delete(ctx, "a"))
		},
		"outage": func(t *testing.T, c object.Client, s *objs.Store) {
			s.SetDown(true)
			var outage *object.OutageError
			assert.ErrorAs(t, c.Put(ctx, "a", nil), &outage)
			_, err := c.Get(ctx, "a")
			assert.ErrorAs(t, err, &outage)
		},
	}
	for name, test := range tests {
		t.Run("memory/"+name, func(t *testing.T) {
			store := objs.New()
			test(t, store, store)
		})
		t.Run("http/"+name, func(t *testing.T) {
			store := objs.New()
			server := httptest.NewServer(store.Handler())
			t.Cleanup(server.Close)
			test(t, webobj.New(server.Listener.Addr().String(), &http.Client{}), store)
		})
	}
}
