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

// The counters of this package that are there before anything happens.
const (
	keyFileErrors       = "key_file_errors"
	partFailures        = "part_failures"
	submissionsAccepted = "config_submissions_accepted"
)

// watch is what a node shows of itself: metrics, health and readiness.
type watch struct {
	calls  *calls.Runner
	meter  *meter.Meter
	labels *label.Set
	health *health.State
}

func newWatch(logger hclog.Logger) watch {
	root := meter.New(reportInterval, logger)
	for _, name := range []string{keyFileErrors, partFailures, submissionsAccepted} {
		root.Scope().Counter(name)
	}
	return watch{
		meter:  root,
		labels: label.New(labelledWorkspaces),
		health: health.New(),
	}
}

// scope returns the root of the node's metrics.
func (w watch) scope() tally.Scope { return w.meter.Scope() }

// runner measures chat requests.
func (w *watch) runner(next front.Runner) front.Runner {
	w.calls = calls.New(next, w.scope(), w.labels)
	return w.calls
}

// loads lists what each workspace has under way on this node.
func (w watch) loads() []admin.Load {
	loads := []admin.Load{}
	for _, load := range w.calls.Loads() {
		loads = append(loads, admin.Load(load))
	}
	return loads
}

// callers adds health, readiness and the count of refusals to a handler.
func (w watch) callers(next http.Handler) http.Handler {
	return w.health.Around(codes.New(next, w.scope()))
}

// rank gives the workspaces with the largest shares labels of their own.
func (w watch) rank(config site.Config) {
	all := slices.Clone(config.Workspaces)
	slices.SortFunc(all, func(a, b site.Workspace) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, 0, len(all))
	for _, workspace := range all {
		names = append(names, workspace.Name)
	}
	w.labels.Rank(names)
}
