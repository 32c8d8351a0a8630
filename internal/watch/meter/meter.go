// Package meter is the root of a process's counters and histograms and the
// page from which Prometheus scrapes them.
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

// Prefix begins the name of every metric.
const Prefix = "cicadamill"

// Meter owns the root scope. Slices get parts of it and never the whole.
type Meter struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// New returns a meter that hands its values to the scrape page once an
// interval. A metric that can't be registered is logged and dropped.
//
//	m := meter.New(time.Second, logger)
//	defer m.Close()
//	m.Scope().Counter("restarts").Inc(1)
func New(interval time.Duration, logger hclog.Logger) *Meter {
	reporter := report.NewReporter(report.Options{
		Registerer:      prometheus.NewRegistry(),
		OnRegisterError: func(err error) { logger.Error("metric dropped", "error", err) },
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

// Handler serves the values in the Prometheus text format.
func (m *Meter) Handler() http.Handler { return m.handler }

// Close reports what was counted last and ends the reports.
func (m *Meter) Close() error {
	return errors.Annotate(m.closer.Close(), "closing the metrics")
}

// sanitize keeps label values as operators wrote them; names follow Prometheus.
func sanitize() *tally.SanitizeOptions {
	options := report.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', '~'}}}
	return &options
}
