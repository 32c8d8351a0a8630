package host

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/gate/call"
	"github.com/cicadamill/cicadamill/internal/gate/feed"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/watch/spool"
)

// startMaintenance runs a host's maintenance. The returned function ends it.
func startMaintenance(t *testing.T, h *Host) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- h.maintain(ctx) }(ctx)
	return func() {
		cancel()
		<-ended
		_ = h.meter.Close()
	}
}

// TestReplacedWeightsStopBeforeTheBound guards against margins that are too small for
// requests to begin, or be cancelled, before the operators' bound of 12 s.
func TestReplacedWeightsStopBeforeTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(&fakeStore{began: time.Now(), rows: map[string][]byte{}})
		defer startMaintenance(t, h)()
		h.SetBounds(Bounds{NewWeights: 12 * time.Second, Lease: 3 * time.Second})
		h.targetReset(feed.Page{Version: 1, Rows: []feed.Row{{Key: "e", Version: 1}}})
		h.announceWeights("m", pick.AnnouncedVersion{Version: 1, Age: time.Hour})
		h.announceWeights("m", pick.AnnouncedVersion{Version: 2})
		r := pick.Request{
			Service: "lm", Prompt: call.Prompt{Model: "m", Tokens: 100, MaxOutput: 1},
			Objective: 10 * time.Second, ObjectiveLeft: 10 * time.Second, ClientTimeLeft: 10 * time.Second,
		}
		var lastSent, cancelledFrom time.Duration
		for at := time.Duration(0); at < 20*time.Second; at += 5 * time.Millisecond {
			h.mu.Lock()
			if _, ok := h.picker.Choose(time.Now(), r).(pick.Dispatch); ok {
				lastSent = at
			}
			if cancelledFrom == 0 && h.picker.MinBeginVersions(time.Now())["m"] == 2 {
				cancelledFrom = at
			}
			h.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
		}
		assert.Less(t, lastSent, 10900*time.Millisecond, "1 s to wait and 100 ms to cancel")
		assert.Greater(t, lastSent, 10700*time.Millisecond, "weights may answer as long as it is safe")
		assert.Less(t, cancelledFrom, 11850*time.Millisecond, "a tick and 100 ms to reach the engine")
		assert.Greater(t, cancelledFrom, 11700*time.Millisecond, "requests may begin as long as it is safe")
	})
}

// modelCodec decodes each request as one for model m.
type modelCodec struct{ call.Codec }

func (modelCodec) Decode(r *http.Request) (call.Call, error) {
	return call.Call{ID: "r", Method: r.Method, Host: r.Host, Path: r.URL.Path, ClientTimeout: 20 * time.Second, Prompt: call.Prompt{Model: "m", Tokens: 100, MaxOutput: 1}}, nil
}

func (modelCodec) Encode(call.Call, call.Forward) http.Header { return http.Header{} }

// TestMaintenanceEndsWaitingRequests guards against requests that wait at a mute engine
// for longer than its weights may answer, or than their cache scope is in force, because
// nobody cancels them.
func TestMaintenanceEndsWaitingRequests(t *testing.T) {
	configuration := func(version uint64, workspaces ...plan.Workspace) PlanChange {
		return PlanChange{Plan: plan.New(plan.Plan{Version: version, Services: map[string]plan.Service{"lm": {Name: "lm", MaxConns: 8}}, Workspaces: workspaces}, []plan.Route{{
			Name: "r", Host: "a.example", Prefix: "/x/", Kind: plan.Stream, Splits: []plan.Split{{Service: "lm", Weight: 1}}, Objective: 10 * time.Second, Attempts: 1,
		}}, nil)}
	}
	tests := map[string]func(h *Host){
		"newer weights are named": func(h *Host) {
			h.announceWeights("m", pick.AnnouncedVersion{Version: 2, Age: 11500 * time.Millisecond})
		},
		"a workspace is isolated": func(h *Host) { h.applyPlan(configuration(2, plan.Workspace{Name: "w", Isolated: true})) },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engine := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
			defer engine.Close()
			s := &fakeStore{began: time.Now(), rows: map[string][]byte{}}
			h := New(Settings{Name: "a", Bounds: Bounds{NewWeights: 12 * time.Second, Lease: 3 * time.Second}}, Platform{
				Codec: modelCodec{}, Source: s, Table: fakeTable{s}, Engines: noEngines{}, Now: time.Now, OwnTable: "own", OperatorTable: "op", TargetTable: "servers",
				DecodeTarget: func(_ time.Time, row feed.Row) roster.Change {
					return roster.Change{ID: row.Key, Version: row.Version, Target: &roster.Target{ID: row.Key, Service: "lm", Address: engine.Listener.Addr().String(), Slots: 8, Versions: map[string]uint64{"m": 1}}}
				},
			}, hclog.NewNullLogger(), spool.New(nil))
			h.applyPlan(configuration(1))
			h.targetReset(feed.Page{Version: 1, Rows: []feed.Row{{Key: "e", Version: 1}}})
			h.announceWeights("m", pick.AnnouncedVersion{Version: 1, Age: time.Hour})
			defer startMaintenance(t, h)()
			changed := time.AfterFunc(300*time.Millisecond, func() { change(h) })
			defer changed.Stop()
			began := time.Now()
			got := httptest.NewRecorder()
			h.proxy.ServeHTTP(got, httptest.NewRequest(http.MethodPost, "http://a.example/x/y", http.NoBody))
			assert.Equal(t, http.StatusBadGateway, got.Code, got.Body.String())
			assert.Greater(t, time.Since(began), 500*time.Millisecond, "it may begin until 200 ms before the bound")
			assert.Less(t, time.Since(began), 4*time.Second)
		})
	}
}
