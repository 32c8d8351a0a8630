package fault_test

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

func TestWrite(t *testing.T) {
	tests := map[string]struct {
		err    error
		status int
		body   string
		retry  string
	}{
		"known": {
			err:    &fault.Error{Code: "noEngine", Status: 503, Outcome: effect.NotRun{}, RetryAfter: 1500 * time.Millisecond, Message: "none"},
			status: 503, retry: "2",
			body: `{"error":{"code":"noEngine","message":"none","ran":"notRun","retryAfterSeconds":2}}`,
		},
		"other error has an unknown outcome": {
			err: errors.New("x"), status: 500,
			body: `{"error":{"code":"internal","message":"the request failed inside the router","ran":"unknown"}}`,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			fault.Write(recorder, test.err)
			assert.Equal(t, test.status, recorder.Code)
			assert.Equal(t, test.retry, recorder.Header().Get("Retry-After"))
			assert.JSONEq(t, test.body, recorder.Body.String())
		})
	}
}
