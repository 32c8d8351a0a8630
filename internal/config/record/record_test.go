package record_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/record"
	"github.com/cicadamill/cicadamill/internal/config/submit"
	"github.com/cicadamill/cicadamill/internal/standin/objs"
	"github.com/cicadamill/cicadamill/internal/standin/tables"
)

// fixture submits to simulated platform services.
type fixture struct {
	t      *testing.T
	tables *tables.Store
	store  *record.Store
}

func newFixture(t *testing.T) fixture {
	rows := tables.New()
	return fixture{t: t, tables: rows, store: record.New(rows, objs.New())}
}

func (f fixture) submit(base uint64, nonce, text string) (uint64, error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 2*time.Second)
	defer cancel()
	return f.store.Submit(ctx, submit.Entry{Base: base, Nonce: nonce, TextKey: record.TextKey(base, nonce)}, []byte(text), 0)
}

func TestTextIsKeptVerbatim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		const text = "{\n  // A comment.\n  \"site\": \"tema\",\n}\n"
		version, err := f.submit(0, "a", text)
		require.NoError(t, err)
		assert.EqualValues(t, 1, version)
		entry, err := f.store.Entry(t.Context(), 1)
		require.NoError(t, err)
		got, err := f.store.Text(t.Context(), entry)
		require.NoError(t, err)
		assert.Equal(t, text, string(got))
	})
}

func TestRaceHasOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		_, err := f.submit(0, "a", "{}")
		require.NoError(t, err)
		_, err = f.submit(0, "b", "{}")
		var conflict *submit.ConflictError
		require.ErrorAs(t, err, &conflict)
		assert.Equal(t, submit.ConflictError{Base: 0, Current: 1}, *conflict)
	})
}

func TestSameSubmissionAgainIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		for range 2 {
			version, err := f.submit(0, "a", "{}")
			require.NoError(t, err)
			assert.EqualValues(t, 1, version)
		}
		_, err := f.submit(1, "b", "{}")
		require.NoError(t, err)
		version, err := f.submit(0, "a", "{}")
		require.NoError(t, err, "accepted again after a later version was accepted")
		assert.EqualValues(t, 1, version)
	})
}

func TestLostRepliesAreResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		lost := 0
		f.tables.SetFault(func(r tables.Request) tables.Fault {
			if r.Write && lost < 3 {
				lost++
				return tables.LoseReply
			}
			return tables.None
		})
		version, err := f.submit(0, "a", "{}")
		require.NoError(t, err)
		assert.EqualValues(t, 1, version)
		assert.Equal(t, 1, lost, "the nonce is found in the head row, so that nothing is written again")
	})
}

func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.tables.SetFault(func(tables.Request) tables.Fault { return tables.Unavailable })
		_, err := f.submit(0, "a", "{}")
		var outage *submit.OutageError
		require.ErrorAs(t, err, &outage)
		assert.False(t, outage.MayHaveApplied)
		assert.True(t, strings.HasPrefix(outage.Error(), "the configuration was not accepted"))
	})
}

func TestHistoryIsNewestFirstAndBounded(t *testing.T) {
	f := newFixture(t)
	for base := range uint64(5) {
		_, err := f.submit(base, string(rune('a'+base)), "{}")
		require.NoError(t, err)
	}
	entries, err := f.store.History(t.Context(), 6, 3)
	require.NoError(t, err)
	require.Len(t, entries, 3)
	assert.EqualValues(t, 5, entries[0].Version)
	assert.EqualValues(t, 3, entries[2].Version)
}
