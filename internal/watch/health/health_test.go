package health_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/watch/health"
)

func TestReadinessDoesNotAffectLiveness(t *testing.T) {
	state := health.New()
	handler := state.Wrap(http.NotFoundHandler())
	status := func(path string) int {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		return recorder.Code
	}
	assert.Equal(t, http.StatusOK, status("/healthz"))
	assert.Equal(t, http.StatusServiceUnavailable, status("/readyz"))
	state.SetReady(true)
	assert.Equal(t, http.StatusOK, status("/readyz"))
	state.SetReady(false)
	assert.Equal(t, http.StatusServiceUnavailable, status("/readyz"))
	assert.Equal(t, http.StatusOK, status("/healthz"))
	assert.Equal(t, http.StatusNotFound, status("/else"))
}
