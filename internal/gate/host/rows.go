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
	// registerInterval is how often a host reads which other hosts there are;
	// hosts that serve tell each other sooner. One that is told by another host
	// reads them when it hears of one whose address it does not know.
	registerInterval = 10 * time.Second
	// registerRetry is the pause after a failed registration.
	registerRetry = time.Second
	// registerTimeout bounds one call to the store.
	registerTimeout = time.Second
	// hostPrefix begins the keys of the rows of hosts.
	hostPrefix = "hosts/"
	// namedPrefix begins the keys of the rows that tell when weights were named.
	namedPrefix = "named/"
	// maxNamed bounds the namings that are kept of a model.
	maxNamed = 8
)

// member is the row of a host.
type member struct {
	Address    string  `json:"address"`
	DataCentre string  `json:"dataCentre,omitempty"`
	Strength   float64 `json:"strength,omitempty"`
}

// namings is the row that tells when a model's weights were named, by the
// store's clock, so that a fleet which restarts knows how old they are.
type namings struct {
	Named []naming `json:"named"`
}

type naming struct {
	Version     uint64 `json:"version"`
	ClockMillis int64  `json:"clockMillis"`
}

// register writes this host's row and reads those of the others.
func (h *Host) register(ctx context.Context) error {
	for _, address := range h.settings.Seeds {
		h.peers.Add(tree.Node{Name: "seed " + address, Seed: true}, address)
	}
	written := h.settings.Peer == ""
	for {
		err := h.readRows(ctx)
		if err == nil && !written {
			err = h.writeMember(ctx)
			written = err == nil
		}
		pause := registerInterval/2 + rand.N(registerInterval/2)
		if err != nil {
			h.meter.Scope().Counter("register_failures").Inc(1)
			h.logger.Info("rows of hosts not read or written", "error", err)
			pause = registerRetry
		}
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(pause):
			}
			if err != nil || h.peers.Parent() == "" || h.peers.Strangers() {
				break
			}
		}
	}
}

func (h *Host) writeMember(ctx context.Context) error {
	value, err := json.Marshal(member{Address: h.settings.Peer, DataCentre: h.settings.DataCentre, Strength: h.settings.Strength})
	if err != nil {
		return err
	}
	return h.put(ctx, hostPrefix+h.settings.Name, value)
}

func (h *Host) put(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return h.platform.Table.Commit(ctx, table.Txn{Puts: []table.Put{{Key: key, Value: value, Always: true}}})
}

// readRows reads the product's rows: which hosts there are, and when weights
// were named.
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
			h.logger.Warn("row can't be read", "key", row.Key, "version", row.Version, "error", err)
		}
	}
	return nil
}

func (h *Host) readRow(page feed.Page, row feed.Row) error {
	if name, ok := strings.CutPrefix(row.Key, hostPrefix); ok {
		var m member
		if err := json.Unmarshal(row.Value, &m); err != nil {
			return err
		}
		h.peers.Add(tree.Node{Name: name, DataCentre: m.DataCentre, Strength: m.Strength}, m.Address)
	}
	if model, ok := strings.CutPrefix(row.Key, namedPrefix); ok {
		var n namings
		if err := json.Unmarshal(row.Value, &n); err != nil {
			return err
		}
		for _, naming := range n.Named {
			age := page.Clock - time.Duration(naming.ClockMillis)*time.Millisecond
			h.noteWeights(model, pick.Named{Version: naming.Version, Age: max(age, 0)})
		}
	}
	return nil
}

// keepNaming writes when weights were named; the host that gives orders does.
// The ages are taken before the clock is read: a pause in between must not make
// them older than they are, or hosts that read them would let no engine answer.
func (h *Host) keepNaming(ctx context.Context, model string) error {
	known := h.namings(model)
	page, err := h.platform.Source.List(ctx, h.platform.OwnTable)
	if err != nil {
		return err
	}
	var kept namings
	for _, named := range known {
		kept.Named = append(kept.Named, naming{Version: named.Version, ClockMillis: (page.Clock - named.Age).Milliseconds()})
	}
	kept.Named = kept.Named[max(0, len(kept.Named)-maxNamed):]
	value, err := json.Marshal(kept)
	if err != nil {
		return err
	}
	return h.put(ctx, namedPrefix+model, value)
}

func (h *Host) namings(model string) []pick.Named {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.picks.Namings(time.Now(), model)
}

// keepNamings writes the namings of every model that has new ones.
func (h *Host) keepNamings(ctx context.Context) error {
	written := map[string]uint64{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(lookInterval):
		}
		if h.giver.Fence() == 0 {
			continue
		}
		for model, version := range h.wanted() {
			if written[model] == version {
				continue
			}
			if err := h.keepNaming(ctx, model); err != nil {
				h.logger.Info("time of naming not kept", "model", model, "weights", version, "error", err)
				continue
			}
			written[model] = version
		}
	}
}
