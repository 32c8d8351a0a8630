package host

import (
	"context"
	"maps"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/gate/credit"
	"github.com/cicadamill/cicadamill/internal/gate/plan"
)

// maxCreditLabels bounds the workspaces with metrics of their own. The others share one
// series.
const maxCreditLabels = 64

// creditLimits returns the limits of a configuration's workspaces. The slack is a number
// of tokens, so that limits on the number of requests have none.
func creditLimits(p *plan.Plan, bound credit.Bound) map[string]credit.Limit {
	limits := map[string]credit.Limit{}
	for name, l := range p.WorkspaceLimits() {
		limit := credit.Limit{Rate: l.Rate, Burst: l.Burst}
		if l.Tokens {
			limit.Slack = bound.Slack
		}
		limits[name] = limit
	}
	return limits
}

const (
	// goneInterval is the pause between two looks at silent hosts, goneTimeout bounds the
	// time to connect to one, and maxGoneDials the number of connections at a time.
	goneInterval = time.Second
	goneTimeout  = 300 * time.Millisecond
	maxGoneDials = 8
)

// watchGone counts the silent hosts whose processes have ended: their machines refuse
// connections. A host that is cut off or suspended doesn't. Only hosts without a parent
// look; they tell the others.
func (h *Host) watchGone(ctx context.Context) error {
	dialer := &net.Dialer{Timeout: goneTimeout}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(goneInterval):
		}
		gone := 0
		if h.peers.Parent() == "" {
			gone = countRefused(ctx, dialer.DialContext, slices.Collect(maps.Values(h.peers.Silent(time.Now()))))
		}
		h.mu.Lock()
		h.credit.SetGone(time.Now(), gone)
		h.mu.Unlock()
	}
}

// countRefused returns how many addresses refuse connections.
func countRefused(ctx context.Context, dial func(context.Context, string, string) (net.Conn, error), addresses []string) int {
	refused := make(chan bool, len(addresses))
	slots := make(chan struct{}, maxGoneDials)
	for _, address := range addresses {
		slots <- struct{}{}
		go func(ctx context.Context) {
			conn, err := dial(ctx, "tcp", address)
			if err == nil {
				_ = conn.Close()
			}
			refused <- errors.Is(err, syscall.ECONNREFUSED)
			<-slots
		}(ctx)
	}
	count := 0
	for range addresses {
		if <-refused {
			count++
		}
	}
	return count
}

// setQuota replaces what is tolerated of the limits of workspaces.
func (h *Host) setQuota(bound credit.Bound) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.credit.SetBound(bound)
	if p := h.plan.Load(); p != nil {
		h.credit.SetLimits(time.Now(), creditLimits(p, bound))
	}
}

// Admit implements the proxy's limiter.
func (h *Host) Admit(workspace string, rank int, amount float64) credit.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	decision := h.credit.Admit(time.Now(), workspace, rank, amount)
	switch d := decision.(type) {
	case credit.Admitted:
		if d.Limited {
			h.countCredit(workspace, "limit_admitted", amount, d.Basis)
		}
	case credit.Rejected:
		h.countCredit(workspace, "limit_rejected", amount, d.Basis)
	}
	return decision
}

// Return implements the proxy's limiter.
func (h *Host) Return(c credit.Credit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.credit.Return(time.Now(), c)
}

func (h *Host) countCredit(workspace, counter string, amount float64, basis credit.Basis) {
	scope, ok := h.creditLabels[workspace]
	if !ok {
		label := workspace
		if len(h.creditLabels) >= maxCreditLabels {
			label = "other"
		}
		scope = h.meter.Scope().Tagged(map[string]string{"workspace": label})
		if label == workspace {
			h.creditLabels[workspace] = scope
		}
	}
	scope.Counter(counter).Inc(int64(amount))
	scope.Gauge("limit_share").Update(basis.Share)
	scope.Gauge("limit_report_age_seconds").Update(basis.Age.Seconds())
}
