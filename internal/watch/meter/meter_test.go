package meter_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/watch/meter"
)

// scrape closes the meter and returns the scrape page.
func scrape(t *testing.T, m *meter.Meter) string {
	t.Helper()
	require.NoError(t, m.Close())
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	body, err := io.ReadAll(recorder.Body)
	require.NoError(t, err)
	return string(body)
}

func TestScrape(t *testing.T) {
	m := meter.New(time.Hour, hclog.NewNullLogger())
	scope := m.Scope().Tagged(map[string]string{"workspace": "ward-12"})
	scope.Counter("requests").Inc(3)
	scope.Histogram("ttft_seconds", tally.DurationBuckets{time.Second, 2 * time.Second}).RecordDuration(1500 * time.Millisecond)
	page := scrape(t, m)
	assert.Contains(t, page, `cicadamill_requests{workspace="ward-12"} 3`)
	assert.Contains(t, page, `cicadamill_ttft_seconds_bucket{workspace="ward-12",le="2"} 1`)
}

func TestConflictingLabelsAreDropped(t *testing.T) {
	m := meter.New(time.Hour, hclog.NewNullLogger())
	m.Scope().Counter("requests").Inc(1)
	m.Scope().Tagged(map[string]string{"class": "batch"}).Counter("requests").Inc(1)
	assert.Contains(t, scrape(t, m), "cicadamill_requests 1")
}
