package host

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/timing"
)

const (
	// modelsKey is the key of the row with the models of package timing.
	modelsKey = "timing/models"
	// modelsInterval is the minimum time between two writes of that row.
	modelsInterval = 10 * time.Second
	// modelsChange is the relative change of a value from which the row is written again.
	modelsChange = 0.1
)

// modelsRow holds what was learned of the engines of each service, for a start of all
// hosts.
type modelsRow struct {
	Models map[string]timing.Model `json:"models"`
}

// readModels applies the row with the models.
func (h *Host) readModels(value []byte) error {
	var row modelsRow
	if err := json.Unmarshal(value, &row); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storedModels = row.Models
	h.picker.RestoreTimes(timing.Learned{Models: row.Models})
	return nil
}

// runModels stores the models while this host has the order lease, if they have changed.
func (h *Host) runModels(ctx context.Context) error {
	writtenEpoch := h.epoch()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(modelsInterval):
		}
		if h.orders.Fence() == 0 {
			continue
		}
		h.mu.Lock()
		models, stored := h.picker.LearnedTimes().Models, h.storedModels
		h.mu.Unlock()
		// A store that was restored from a copy may have lost the row.
		epoch := h.epoch()
		if len(models) == 0 || epoch == writtenEpoch && !modelsDiffer(stored, models) {
			continue
		}
		if err := h.storeModels(ctx, models); err != nil {
			h.logger.Info("failed to store models of timing", "error", err)
			continue
		}
		writtenEpoch = epoch
	}
}

func (h *Host) storeModels(ctx context.Context, models map[string]timing.Model) error {
	value, err := json.Marshal(modelsRow{Models: models})
	if err != nil {
		return err
	}
	if err := h.put(ctx, modelsKey, value); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storedModels = models
	return nil
}

// modelsDiffer reports whether a service is missing or a value has changed by more than
// modelsChange. Services that are only stored may be learned again later.
func modelsDiffer(stored, models map[string]timing.Model) bool {
	for service, m := range models {
		old, ok := stored[service]
		if !ok || valuesDiffer(old.Base, m.Base) || valuesDiffer(old.PerToken, m.PerToken) {
			return true
		}
	}
	return false
}

func valuesDiffer(old, value time.Duration) bool {
	return max(value-old, old-value) > time.Duration(modelsChange*float64(old))
}
