package outage_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/standin/outage"
)

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		fault   string
		status  int
		lost    bool
		effects int32
	}{
		"none":          {fault: `{"kind":"down","millis":0}`, status: http.StatusOK, effects: 1},
		"down":          {fault: `{"kind":"down","millis":60000}`, status: http.StatusServiceUnavailable},
		"reply lost":    {fault: `{"kind":"lose","millis":60000}`, lost: true, effects: 1},
		"second lost":   {fault: `{"kind":"lose","millis":60000,"every":2}`, status: http.StatusOK, effects: 1},
		"slow":          {fault: `{"kind":"slow","millis":60000,"delayMillis":1}`, status: http.StatusOK, effects: 1},
		"unknown fault": {fault: `{"kind":"x"}`, status: http.StatusOK, effects: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var effects atomic.Int32
			server := httptest.NewServer(outage.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				effects.Add(1)
				_, _ = io.WriteString(w, "done")
			})))
			defer server.Close()
			response, err := http.Post(server.URL+"/standin/faults", "application/json", strings.NewReader(test.fault))
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			response, err = http.Post(server.URL, "text/plain", http.NoBody)
			assert.Equal(t, test.lost, err != nil)
			assert.Equal(t, test.effects, effects.Load())
			if err == nil {
				assert.Equal(t, test.status, response.StatusCode)
				require.NoError(t, response.Body.Close())
			}
		})
	}
}
