package host

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/gate/feed"
	"github.com/cicadamill/cicadamill/internal/gate/tree"
	"github.com/cicadamill/cicadamill/internal/infra/epoch"
	"github.com/cicadamill/cicadamill/internal/infra/mark"
	"github.com/cicadamill/cicadamill/internal/infra/table"
	"github.com/cicadamill/cicadamill/internal/node/orders"
)

const (
	// registerInterval is how often a host reads the rows of the other hosts. Running
	// hosts discover each other sooner through their messages. A host that has a
	// parent reads the rows only when the address of a peer that is up is missing.
	registerInterval = 10 * time.Second
	// registerRetry is the delay after a failed registration.
	registerRetry = time.Second
	// registerTimeout bounds one call to the store.
	registerTimeout = time.Second
	// hostPrefix is the key prefix of host rows.
	hostPrefix = "hosts/"
)

// hostRow is the row of a host.
type hostRow struct {
	Address    string  `json:"address"`
	DataCentre string  `json:"dataCentre,omitempty"`
	Strength   float64 `json:"strength,omitempty"`
}

// register writes this host's row once and periodically reads the others.
func (h *Host) register(ctx context.Context) error {
	for _, address := range h.settings.Seeds {
		h.peers.Add(tree.Node{Name: "seed " + address, Seed: true}, address)
	}
	written, writtenEpoch := h.settings.Peer == "", uint64(0)
	for {
		if now := h.epoch(); now != writtenEpoch {
			// The store may have lost the row.
			written, writtenEpoch = h.settings.Peer == "", now
		}
		err := h.readRows(ctx)
		var slow *slowClockError
		if !written && (err == nil || errors.As(err, &slow)) {
			writeErr := h.writeHostRow(ctx)
			written = writeErr == nil
			err = cmp.Or(writeErr, err)
		}
		pause := registerInterval/2 + rand.N(registerInterval/2)
		if err != nil {
			h.meter.Scope().Counter("register_failures").Inc(1)
			h.logger.Info("failed to read or write host rows; retrying", "error", err)
			pause = registerRetry
		}
		if !h.waitToRead(ctx, pause, err != nil) {
			return ctx.Err()
		}
	}
}

// waitToRead waits until the rows must be read again: after the pause, or at once when
// the age of an announcement is unknown. It returns false when the context ends.
func (h *Host) waitToRead(ctx context.Context, pause time.Duration, failed bool) bool {
	epochBefore := h.epoch()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause):
		case <-h.ageUnknown:
			return true
		}
		if failed || h.epoch() != epochBefore || h.peers.Parent() == "" || h.peers.LacksAddress() {
			return true
		}
	}
}

// epoch returns how often the store had been restored from a backup when the operators'
// table was last read.
func (h *Host) epoch() uint64 {
	return epoch.Version(h.feeds[h.platform.OperatorTable].Version()).Epoch()
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

// readRows reads the gateway's own table: the hosts, the announcement times of weights
// and the models of package timing. If the read was slow, it doesn't use the times and
// returns an error.
func (h *Host) readRows(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	unknown := h.announcementsOfUnknownAge()
	clock := clockReading{began: h.platform.Now()}
	page, err := h.platform.Source.List(ctx, h.platform.OwnTable)
	if err != nil {
		return err
	}
	clock.clock = page.Clock
	slow := h.checkClockDelay(clock.began)
	var marks mark.History
	for _, row := range page.Rows {
		if slow != nil && !strings.HasPrefix(row.Key, hostPrefix) && row.Key != modelsKey {
			continue
		}
		if err := h.readRow(clock, row, &marks); err != nil {
			h.meter.Scope().Counter("rows_unreadable").Inc(1)
			h.logger.Warn("failed to decode row", "key", row.Key, "version", row.Version, "error", err)
		}
	}
	h.rowsRead.Store(true)
	if slow == nil {
		h.boundAges(clock, marks, unknown)
	}
	return slow
}

func (h *Host) readRow(clock clockReading, row feed.Row, marks *mark.History) (err error) {
	if row.Key == orders.LeaseKey {
		*marks, err = orders.ReadMarks(row.Value)
		return err
	}
	if row.Key == modelsKey {
		return h.readModels(row.Value)
	}
	if name, ok := strings.CutPrefix(row.Key, hostPrefix); ok {
		var m hostRow
		if err := json.Unmarshal(row.Value, &m); err != nil {
			return err
		}
		h.peers.Add(tree.Node{Name: name, DataCentre: m.DataCentre, Strength: m.Strength}, m.Address)
	}
	if model, ok := strings.CutPrefix(row.Key, announcedPrefix); ok {
		return h.readAnnouncements(clock, model, row.Value)
	}
	return nil
}
