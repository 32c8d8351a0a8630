package pick_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/gate/pick"
)

// TestEnginesThatBeginTooLateAreNotChosen guards against requests sent to an engine
// with replaced weights whose queue they leave only after the operators' bound, or are
// cancelled in. Weights may be sent requests for 10.8 s after their replacement, and
// begin them for 11.8 s.
func TestEnginesThatBeginTooLateAreNotChosen(t *testing.T) {
	tests := map[string]struct {
		at time.Duration
		// queued is the number of tokens to read before the request's own, at 13 µs each;
		// the request itself takes about 200 ms to begin.
		queued int
		sent   bool
	}{
		"idle, just before the limit":          {10750 * time.Millisecond, 0, true},
		"begins at 11.6 s":                     {10500 * time.Millisecond, 70_000, true},
		"begins at 11.85 s":                    {10750 * time.Millisecond, 70_000, false},
		"begins at 13 s":                       {10750 * time.Millisecond, 160_000, false},
		"a long queue, long before the limit":  {8 * time.Second, 160_000, true},
		"idle, just after the limit":           {10850 * time.Millisecond, 0, false},
		"a queue that ends a second too late":  {10 * time.Second, 200_000, false},
		"a queue that ends a second too early": {8 * time.Second, 200_000, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newState(1)
			now := start.Add(test.at)
			s.Announce(start, model, pick.AnnouncedVersion{Version: 2})
			s.SetMaxReplacedAge(now, 10800*time.Millisecond)
			s.ApplyReport(now, peer, pick.Report{Work: map[string]pick.Load{"e0": {Running: 1, Prefill: test.queued}}})
			r := longRequest("sheet")
			r.Objective, r.ObjectiveLeft, r.ClientTimeLeft = 20*time.Second, 20*time.Second, 20*time.Second
			d, sent := s.Choose(now, r).(pick.Dispatch)
			assert.Equal(t, test.sent, sent)
			if sent {
				assert.Equal(t, start.Add(11800*time.Millisecond), d.BeginBy)
			}
		})
	}
}

// TestMinBeginVersions guards against requests that may begin on replaced weights for
// longer than allowed, and against cancelled ones while there is no limit.
func TestMinBeginVersions(t *testing.T) {
	s := newState(1)
	s.Announce(start, model, pick.AnnouncedVersion{Version: 2})
	s.Announce(start.Add(3*time.Second), model, pick.AnnouncedVersion{Version: 3})
	s.SetMaxReplacedAge(start, 10800*time.Millisecond)
	for at, want := range map[time.Duration]uint64{
		11790 * time.Millisecond: 1, 11810 * time.Millisecond: 2, 14790 * time.Millisecond: 2, 14810 * time.Millisecond: 3,
	} {
		assert.Equal(t, map[string]uint64{model: want}, s.MinBeginVersions(start.Add(at)), "after %s", at)
	}
	s.SetMaxReplacedAge(start, 0)
	assert.Empty(t, s.MinBeginVersions(start.Add(time.Hour)))
}
