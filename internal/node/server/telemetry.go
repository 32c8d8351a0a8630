package server

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/config/admin"
	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/entry/front"
	"github.com/cicadamill/cicadamill/internal/watch/calls"
	"github.com/cicadamill/cicadamill/internal/watch/codes"
	"github.com/cicadamill/cicadamill/internal/watch/health"
	"github.com/cicadamill/cicadamill/internal/watch/label"
	"github.com/cicadamill/cicadamill/internal/watch/meter"
)

const (
	reportInterval     = time.Second
	labelledWorkspaces = 32
)

// Counters that are created at the start, so that they are exported as zero
// before the first event.
const (
	keyFileErrors       = "key_file_errors"
	partFailures        = "part_failures"
	submissionsAccepted = "config_submissions_accepted"
)

// telemetry holds a node's metrics, health and readiness.
type telemetry struct {
	calls  *calls.Runner
	meter  *meter.Meter
	labels *label.Set
	health *health.Readiness
}

func newTelemetry(logger hclog.Logger) telemetry {
	root := meter.New(reportInterval, logger)
	for _, name := range []string{keyFileErrors, partFailures, submissionsAccepted} {
		root.Scope().Counter(name)
	}
	return telemetry{
		meter:  root,
		labels: label.New(labelledWorkspaces),
		health: health.New(),
	}
}

// scope returns the root of the node's metrics.
func (t telemetry) scope() tally.Scope { return t.meter.Scope() }

// wrapRunner adds the metrics of chat requests to a runner.
func (t *telemetry) wrapRunner(next front.Runner) front.Runner {
	t.calls = calls.New(next, t.scope(), t.labels)
	return t.calls
}

// loads returns the requests in flight of each workspace on this node.
func (t telemetry) loads() []admin.WorkspaceLoad {
	loads := []admin.WorkspaceLoad{}
	for _, load := range t.calls.Loads() {
		loads = append(loads, admin.WorkspaceLoad(load))
	}
	return loads
}

// wrapCallers adds the health and readiness endpoints and the refusal metrics to
// the callers' handler.
func (t telemetry) wrapCallers(next http.Handler) http.Handler {
	return t.health.Wrap(codes.New(next, t.scope()))
}

// rankWorkspaces ranks the workspaces by share. The ones with the largest shares
// get a metric label of their own.
func (t telemetry) rankWorkspaces(config site.Config) {
	all := slices.Clone(config.Workspaces)
	slices.SortFunc(all, func(a, b site.Workspace) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, 0, len(all))
	for _, workspace := range all {
		names = append(names, workspace.Name)
	}
	t.labels.SetRanking(names)
}
