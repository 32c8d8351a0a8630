package sweep_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/infra/table"
	"github.com/cicadamill/cicadamill/internal/node/sweep"
	"github.com/cicadamill/cicadamill/internal/safety/ledger"
	"github.com/cicadamill/cicadamill/internal/standin/objs"
	"github.com/cicadamill/cicadamill/internal/standin/tables"
)

func put(t *testing.T, store *tables.Store, key string, value any) {
	encoded, err := json.Marshal(value)
	require.NoError(t, err)
	require.NoError(t, store.Commit(context.Background(), table.Txn{Puts: []table.Put{{Key: key, Value: encoded}}}))
}

func TestExpiredRecordsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store, objects := tables.New(), objs.New()
		soon, late := time.Now().Add(time.Hour).Unix(), time.Now().Add(48*time.Hour).Unix()
		for i := range 64 {
			put(t, store, ledger.RowKey("w", fmt.Sprint(i)), ledger.Record{Nonce: "N", Expires: soon})
		}
		put(t, store, ledger.RowKey("w", "stays"), ledger.Record{Nonce: "N", Expires: late})
		put(t, store, ledger.AnswerKey("ZZZ"), ledger.Answer{Outcome: "answered", Object: true, Expires: soon})
		require.NoError(t, objects.Put(ctx, ledger.AnswerKey("ZZZ"), []byte("body")))
		ended := make(chan error, 1)
		go func(ctx context.Context) {
			ended <- sweep.New(store, objects, time.Minute, 1, tally.NoopScope).Serve(ctx)
		}(ctx)
		time.Sleep(time.Hour)
		rows, err := store.List(ctx, "effects/", "", 1000)
		require.NoError(t, err)
		assert.Len(t, rows, 66)
		time.Sleep(20 * time.Hour)
		rows, err = store.List(ctx, "effects/", "", 1000)
		require.NoError(t, err)
		require.Len(t, rows, 1)
		assert.Equal(t, ledger.RowKey("w", "stays"), rows[0].Key)
		_, err = objects.Get(ctx, ledger.AnswerKey("ZZZ"))
		assert.Error(t, err)
		cancel()
		assert.ErrorIs(t, <-ended, context.Canceled)
	})
}
