package host

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/feed"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/tree"
	"github.com/cicadamill/cicadamill/internal/infra/table"
)

const (
	// registerInterval is how often a host reads the rows of the other hosts; hosts
	// that serve learn of each other sooner through their messages. A host that has
	// a parent reads them only when it learns of a peer whose address it doesn't
	// know.
	registerInterval = 10 * time.Second
	// registerRetry is the delay after a failed registration.
	registerRetry = time.Second
	// registerTimeout bounds one call to the store.
	registerTimeout = time.Second
	// hostPrefix is the key prefix of host rows.
	hostPrefix = "hosts/"
	// announcedPrefix is the key prefix of the rows with the announcement times of
	// weights.
	announcedPrefix = "named/"
	// maxAnnouncements bounds the announcements stored per model.
	maxAnnouncements = 8
)

// hostRow is the row of a host.
type hostRow struct {
	Address    string  `json:"address"`
	DataCentre string  `json:"dataCentre,omitempty"`
	Strength   float64 `json:"strength,omitempty"`
}

// announcementRow holds the announcement times of a model's weights by the store's
// clock, so that their ages are known after a restart of all hosts.
type announcementRow struct {
	Named []announcement `json:"named"`
}

type announcement struct {
	Version     uint64 `json:"version"`
	ClockMillis int64  `json:"clockMillis"`
}

// register writes this host's row once and periodically reads the others.
func (h *Host) register(ctx context.Context) error {
	for _, address := range h.settings.Seeds {
		h.peers.Add(tree.Node{Name: "seed " + address, Seed: true}, address)
	}
	written := h.settings.Peer == ""
	for {
		err := h.readRows(ctx)
		if err == nil && !written {
			err = h.writeHostRow(ctx)
			written = err == nil
		}
		pause := registerInterval/2 + rand.N(registerInterval/2)
		if err != nil {
			h.meter.Scope().Counter("register_failures").Inc(1)
			h.logger.Info("failed to read or write host rows; retrying", "error", err)
			pause = registerRetry
		}
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(pause):
			}
			if err != nil || h.peers.Parent() == "" || h.peers.LacksAddress() {
				break
			}
		}
	}
}

func (h *Host) writeHostRow(ctx context.Context) error {
	value, err := json.Marshal(hostRow{Address: h.settings.Peer, DataCentre: h.settings.DataCentre, Strength: h.settings.Strength})
	if err != nil {
		return err
	}
	return h.put(ctx, hostPrefix+h.settings.Name, value)
}

func (h *Host) put(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return h.platform.Table.Commit(ctx, table.Txn{Puts: []table.Put{{Key: key, Value: value, Unconditional: true}}})
}

// readRows reads the gateway's own table: the hosts and the announcement times of
// weights.
func (h *Host) readRows(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	page, err := h.platform.Source.List(ctx, h.platform.OwnTable)
	if err != nil {
		return err
	}
	for _, row := range page.Rows {
		if err := h.readRow(page, row); err != nil {
			h.meter.Scope().Counter("rows_unreadable").Inc(1)
			h.logger.Warn("failed to decode row", "key", row.Key, "version", row.Version, "error", err)
		}
	}
	return nil
}

func (h *Host) readRow(page feed.Page, row feed.Row) error {
	if name, ok := strings.CutPrefix(row.Key, hostPrefix); ok {
		var m hostRow
		if err := json.Unmarshal(row.Value, &m); err != nil {
			return err
		}
		h.peers.Add(tree.Node{Name: name, DataCentre: m.DataCentre, Strength: m.Strength}, m.Address)
	}
	if model, ok := strings.CutPrefix(row.Key, announcedPrefix); ok {
		var n announcementRow
		if err := json.Unmarshal(row.Value, &n); err != nil {
			return err
		}
		for _, a := range n.Named {
			age := page.Clock - time.Duration(a.ClockMillis)*time.Millisecond
			h.announceWeights(model, pick.AnnouncedVersion{Version: a.Version, Age: max(age, 0)})
		}
	}
	return nil
}

// storeAnnouncements writes the announcement times of a model's weights. The host
// that sends the orders does this. It computes the ages before it reads the clock:
// if the process is paused in between, the stored ages must not become too large,
// or hosts that read them would let no engine answer.
func (h *Host) storeAnnouncements(ctx context.Context, model string) error {
	known := h.announcements(model)
	page, err := h.platform.Source.List(ctx, h.platform.OwnTable)
	if err != nil {
		return err
	}
	var row announcementRow
	for _, named := range known {
		row.Named = append(row.Named, announcement{Version: named.Version, ClockMillis: (page.Clock - named.Age).Milliseconds()})
	}
	row.Named = row.Named[max(0, len(row.Named)-maxAnnouncements):]
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	return h.put(ctx, announcedPrefix+model, value)
}

func (h *Host) announcements(model string) []pick.AnnouncedVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.picker.Announced(time.Now(), model)
}

// runAnnouncements stores the announcement times of each model that has a new
// version.
func (h *Host) runAnnouncements(ctx context.Context) error {
	written := map[string]uint64{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(orderInterval):
		}
		if h.orders.Fence() == 0 {
			continue
		}
		for model, version := range h.wanted() {
			if written[model] == version {
				continue
			}
			if err := h.storeAnnouncements(ctx, model); err != nil {
				h.logger.Info("failed to store announcement times", "model", model, "weights", version, "error", err)
				continue
			}
			written[model] = version
		}
	}
}
