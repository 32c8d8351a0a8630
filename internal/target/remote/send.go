package remote

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// send performs a request. The outcome of a failure is "not run" only if no
// connection was made, since no byte can have been sent then.
func (c *Client) send(request *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := c.http.Do(request)
	if err == nil {
		return response, nil
	}
	if !connected.Load() {
		return nil, c.failure(engine.Unreachable, effect.NotRun{Reason: "no connection"}, err.Error())
	}
	return nil, c.failure(engine.Broken, effect.Unknown{Reason: "the connection ended"}, err.Error())
}
