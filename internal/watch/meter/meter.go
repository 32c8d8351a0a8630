// Package meter owns the root scope of a process's metrics and serves them to
// Prometheus.
package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	report "github.com/uber-go/tally/v4/prometheus"
)

// Prefix is the prefix of all metric names.
const Prefix = "cicadamill"

// Meter owns the root scope. Packages that make routing decisions get sub-scopes of
// it, never the root.
type Meter struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// New returns a meter that reports its values to the scrape page at each interval.
// A metric that can't be registered is logged and dropped.
//
//	m := meter.New(time.Second, logger)
//	defer m.Close()
//	m.Scope().Counter("restarts").Inc(1)
func New(interval time.Duration, logger hclog.Logger) *Meter {
	reporter := report.NewReporter(report.Options{
		Registerer:      prometheus.NewRegistry(),
		OnRegisterError: func(err error) { logger.Error("dropped a metric that could not be registered", "error", err) },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 Prefix,
		Separator:              report.DefaultSeparator,
		CachedReporter:         reporter,
		SanitizeOptions:        sanitize(),
		OmitCardinalityMetrics: true,
	}, interval)
	return &Meter{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Scope returns the root scope.
func (m *Meter) Scope() tally.Scope { return m.scope }

// Handler returns the handler of the scrape page, in the Prometheus text format.
func (m *Meter) Handler() http.Handler { return m.handler }

// Close reports the last values and stops reporting.
func (m *Meter) Close() error {
	return errors.Annotate(m.closer.Close(), "closing the metrics")
}

// sanitize allows all printable ASCII in label values, to keep them as operators
// wrote them. Names follow the rules of Prometheus.
func sanitize() *tally.SanitizeOptions {
	options := report.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', '~'}}}
	return &options
}
