package host

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/infra/mark"
)

const (
	// announcedPrefix is the key prefix of the rows with the announcement times of
	// weights.
	announcedPrefix = "named/"
	// maxAnnouncements bounds the announcements stored per model.
	maxAnnouncements = 8
	// maxClockDelay is how long after the ages of announcements, or the host's clock,
	// the store's clock may be read. A slow store takes a quarter of a second.
	maxClockDelay = 400 * time.Millisecond
)

// announcementRow holds the announcement times of a model's weights by the store's
// clock, so that their ages can be computed after a restart of all hosts.
type announcementRow struct {
	Named []announcement `json:"named"`
}

type announcement struct {
	Version     uint64 `json:"version"`
	ClockMillis int64  `json:"clockMillis"`
	// Guess is true if the time is a bound.
	Guess bool `json:"guess,omitempty"`
}

// clockReading is a reading of the store's clock.
type clockReading struct {
	// began is when the read began, by this host's boot-time clock.
	began time.Time
	// clock is the store's clock.
	clock time.Duration
}

// hostTime converts a time by the store's clock to one by the host's boot-time clock.
// It is too early by at most the time that the read took, also across a suspension.
func (r clockReading) hostTime(at time.Duration) time.Time { return r.began.Add(at - r.clock) }

// slowClockError means that the store's clock was read too long after the host's, as
// across a suspension, so that no age may be computed from the two.
type slowClockError struct{ Took time.Duration }

// Error implements the error interface.
func (e *slowClockError) Error() string {
	return "reading the store's clock took " + e.Took.String()
}

// checkClockDelay checks a reading of the store's clock that ends now.
func (h *Host) checkClockDelay(began time.Time) error {
	if took := h.platform.Now().Sub(began); took > maxClockDelay {
		return &slowClockError{Took: took}
	}
	return nil
}

// modelVersion is a version of a model's weights.
type modelVersion struct {
	model   string
	version uint64
}

// announceWeights records an announced version of a model's weights.
func (h *Host) announceWeights(model string, announced pick.AnnouncedVersion) {
	h.mu.Lock()
	newest := h.picker.Announce(time.Now(), model, announced)
	h.mu.Unlock()
	if newest {
		h.logger.Info("weights named", "model", model, "weights", announced.Version, "ageMs", announced.Age.Milliseconds())
	}
}

// announceAt is like announceWeights for a version that was announced at the given time
// of the boot-time clock, or about then if that is a guess.
func (h *Host) announceAt(n modelVersion, at time.Time, guess bool) time.Duration {
	h.observeClocks()
	age := max(h.platform.Now().Sub(at), 0)
	h.announceWeights(n.model, pick.AnnouncedVersion{Version: n.version, Age: age, Guess: guess})
	return age
}

// announceLate records that a version was announced at an unknown time before now. Its
// age is at least zero until the gateway's own rows have been read. It does nothing if
// the age is known.
func (h *Host) announceLate(n WeightsChange, rowVersion uint64) {
	if h.knowsAge(n) {
		return
	}
	h.mu.Lock()
	h.unknownAges[modelVersion{n.Model, n.Version}] = rowVersion
	h.mu.Unlock()
	select {
	case h.ageUnknown <- struct{}{}:
	default:
	}
}

// knowsAge reports whether somebody saw the announcement of a version, or its time is in
// the store.
func (h *Host) knowsAge(n WeightsChange) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, stored := h.storedAges[modelVersion{n.Model, n.Version}]
	return stored || slices.ContainsFunc(h.picker.Announced(time.Now(), n.Model), func(a pick.AnnouncedVersion) bool {
		return a.Version == n.Version && !a.Guess
	})
}

// announcementsOfUnknownAge returns the store versions of the rows by which this host
// learned late of announcements.
func (h *Host) announcementsOfUnknownAge() map[modelVersion]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.unknownAges)
}

// boundAges sets an upper bound of the ages of announcements that were unknown before
// the gateway's own rows were read, or a lower one if the marks don't reach back as far.
// If it is stored when the version was announced, that time has been applied already.
func (h *Host) boundAges(clock clockReading, marks mark.History, unknown map[modelVersion]uint64) {
	for n, rowVersion := range unknown {
		after, bounded := marks.WrittenAfter(rowVersion)
		before, older := marks.WrittenBefore(rowVersion)
		h.mu.Lock()
		delete(h.unknownAges, n)
		_, stored := h.storedAges[n]
		h.mu.Unlock()
		switch {
		case stored:
		case bounded:
			age := h.announceAt(n, clock.hostTime(after), true)
			h.logger.Info("age of named weights bounded", "model", n.model, "weights", n.version, "ageMs", age.Milliseconds())
		case older:
			age := h.announceAt(n, clock.hostTime(before), true)
			h.logger.Warn("least age of named weights known", "model", n.model, "weights", n.version, "ageMs", age.Milliseconds())
		default:
			h.logger.Warn("age of named weights unknown", "model", n.model, "weights", n.version)
		}
	}
}

// readAnnouncements applies a row with announcement times.
func (h *Host) readAnnouncements(clock clockReading, model string, value []byte) error {
	var row announcementRow
	if err := json.Unmarshal(value, &row); err != nil {
		return err
	}
	for _, a := range row.Named {
		n := modelVersion{model, a.Version}
		h.announceAt(n, clock.hostTime(time.Duration(a.ClockMillis)*time.Millisecond), a.Guess)
		h.mu.Lock()
		h.storedAges[n] = struct{}{}
		h.mu.Unlock()
	}
	return nil
}

// storeAnnouncements writes the announcement times of a model's weights. The host
// that sends the orders does this. It reads the rows first, which may tell it that an
// announcement is older. The stored times are wrong by as much as passes between
// computing the ages and reading the clock, so a reading across a pause is discarded.
func (h *Host) storeAnnouncements(ctx context.Context, model string) error {
	if err := h.readRows(ctx); err != nil {
		return err
	}
	began := h.platform.Now()
	known := h.announcementsOfKnownAge(model)
	page, err := h.platform.Source.List(ctx, h.platform.OwnTable)
	if err != nil {
		return err
	}
	if err := h.checkClockDelay(began); err != nil {
		return err
	}
	var row announcementRow
	for _, announced := range known {
		row.Named = append(row.Named, announcement{Version: announced.Version, ClockMillis: (page.Clock - announced.Age).Milliseconds(), Guess: announced.Guess})
	}
	row.Named = row.Named[max(0, len(row.Named)-maxAnnouncements):]
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	return h.put(ctx, announcedPrefix+model, value)
}

// announcementsOfKnownAge returns the announcements of a model whose times can be
// stored. A version that this host learned of late waits for the next read of the rows.
func (h *Host) announcementsOfKnownAge(model string) []pick.AnnouncedVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(h.picker.Announced(time.Now(), model), func(a pick.AnnouncedVersion) bool {
		n := modelVersion{model, a.Version}
		_, unknown := h.unknownAges[n]
		_, stored := h.storedAges[n]
		return unknown && !stored
	})
}

func (h *Host) announcements(model string) []pick.AnnouncedVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.picker.Announced(time.Now(), model)
}

// runAnnouncements stores the announcement times of each model that has a new
// version. A host that knows it only from another one waits until it has read
// the row itself, since the other may not know the age yet.
func (h *Host) runAnnouncements(ctx context.Context) error {
	// written are the versions whose times are stored, by the epoch of the store, which
	// may lose them when it is restored.
	type storedVersion struct{ version, epoch uint64 }
	written := map[string]storedVersion{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(orderInterval):
		}
		if _, listed := h.feeds[h.platform.OperatorTable].ConfirmedAge(time.Now()); !listed || h.orders.Fence() == 0 {
			continue
		}
		for model, version := range h.wanted() {
			next := storedVersion{version: version, epoch: h.epoch()}
			if written[model] == next {
				continue
			}
			if err := h.storeAnnouncements(ctx, model); err != nil {
				h.logger.Info("failed to store announcement times", "model", model, "weights", version, "error", err)
				continue
			}
			if _, unknown := h.announcementsOfUnknownAge()[modelVersion{model, version}]; !unknown {
				written[model] = next
			}
		}
	}
}
