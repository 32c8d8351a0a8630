package codes_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/watch/codes"
)

func TestErrorResponsesAreCounted(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	next := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/refused" {
			fault.Write(w, &fault.Error{Code: "unauthorized", Status: http.StatusUnauthorized, Outcome: effect.NotRun{}})
		}
	})
	handler := codes.New(next, scope)
	for _, path := range []string{"/refused", "/", "/refused"} {
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, nil))
	}
	counters := scope.Snapshot().Counters()
	assert.Len(t, counters, 1)
	assert.EqualValues(t, 2, counters["refusals+code=unauthorized"].Value())
}
