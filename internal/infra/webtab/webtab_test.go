package webtab_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/infra/table"
	"github.com/cicadamill/cicadamill/internal/infra/webtab"
	"github.com/cicadamill/cicadamill/internal/standin/tables"
)

// clients returns the implementations of [table.Client] under test.
func clients(t *testing.T) map[string]func() (table.Client, *tables.Store) {
	return map[string]func() (table.Client, *tables.Store){
		"memory": func() (table.Client, *tables.Store) {
			store := tables.New()
			return store, store
		},
		"http": func() (table.Client, *tables.Store) {
			store := tables.New()
			server := httptest.NewServer(store.Handler())
			t.Cleanup(server.Close)
			return webtab.New(server.Listener.Addr().String(), &http.Client{}), store
		},
	}
}

func TestContract(t *testing.T) {
	ctx := context.Background()
	put := func(key, value string, version uint64) table.Put {
		return table.Put{Key: key, Value: []byte(value), IfVersion: version}
	}
	tests := map[string]func(*testing.T, table.Client, *tables.Store){
		"missing row has version zero": func(t *testing.T, c table.Client, _ *tables.Store) {
			row, err := c.Get(ctx, "a")
			require.NoError(t, err)
			assert.Zero(t, row.Version)
		},
		"failed condition writes nothing": func(t *testing.T, c table.Client, _ *tables.Store) {
			require.NoError(t, c.Commit(ctx, table.Txn{Puts: []table.Put{put("a", "1", 0)}}))
			err := c.Commit(ctx, table.Txn{Puts: []table.Put{put("b", "1", 0), put("a", "2", 0)}})
			var conflict *table.ConflictError
			require.ErrorAs(t, err, &conflict)
			assert.Equal(t, table.ConflictError{Key: "a", Version: 1}, *conflict)
			row, err := c.Get(ctx, "b")
			require.NoError(t, err)
			assert.Zero(t, row.Version)
		},
		"list is ordered and bounded": func(t *testing.T, c table.Client, _ *tables.Store) {
			require.NoError(t, c.Commit(ctx, table.Txn{Puts: []table.Put{put("p/2", "", 0), put("p/1", "x", 0), put("q", "x", 0), put("p/3", "x", 0)}}))
			rows, err := c.List(ctx, "p/", "p/1", 1)
			require.NoError(t, err)
			require.Len(t, rows, 1)
			assert.Equal(t, "p/2", rows[0].Key)
		},
		"outage has no effect": func(t *testing.T, c table.Client, s *tables.Store) {
			s.SetFault(func(tables.Request) tables.Fault { return tables.Unavailable })
			err := c.Commit(ctx, table.Txn{Puts: []table.Put{put("a", "1", 0)}})
			var outage *table.OutageError
			require.ErrorAs(t, err, &outage)
			assert.False(t, outage.MayHaveApplied)
			s.SetFault(nil)
			row, err := c.Get(ctx, "a")
			require.NoError(t, err)
			assert.Zero(t, row.Version)
		},
		"lost response may have applied": func(t *testing.T, c table.Client, s *tables.Store) {
			s.SetFault(func(tables.Request) tables.Fault { return tables.LoseReply })
			err := c.Commit(ctx, table.Txn{Puts: []table.Put{put("a", "1", 0)}})
			var outage *table.OutageError
			require.ErrorAs(t, err, &outage)
			assert.True(t, outage.MayHaveApplied)
			s.SetFault(nil)
			row, err := c.Get(ctx, "a")
			require.NoError(t, err)
			assert.EqualValues(t, 1, row.Version)
		},
		"cancelled context is an outage": func(t *testing.T, c table.Client, _ *tables.Store) {
			gone, cancel := context.WithCancel(ctx)
			cancel()
			_, err := c.Get(gone, "a")
			var outage *table.OutageError
			assert.True(t, errors.As(err, &outage))
		},
	}
	for name, test := range tests {
		for kind, open := range clients(t) {
			t.Run(kind+"/"+name, func(t *testing.T) {
				client, store := open()
				test(t, client, store)
			})
		}
	}
}

func TestNoConnectionHasNoEffect(t *testing.T) {
	err := webtab.New("127.0.0.1:0", &http.Client{}).Commit(context.Background(), table.Txn{})
	var outage *table.OutageError
	require.ErrorAs(t, err, &outage)
	assert.False(t, outage.MayHaveApplied)
}
