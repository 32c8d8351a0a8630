// Package refill implements one node's share of a limit: an amount that grows at a rate
// up to a bound and that requests take from. Packages needs and credit divide a limit
// among nodes in different ways and hold each part as such a share.
package refill

import "time"

// maxWait bounds the time until an amount is there.
const maxWait = time.Hour

// Share is an amount that grows with time. Its zero value is empty and doesn't grow, so
// that nodes that restart add nothing to what others have just used.
type Share struct {
	// rate is the growth per second.
	rate float64
	// bound is the largest amount, amount that as of countedAt.
	bound, amount float64
	countedAt     time.Time
}

// Set replaces the growth per second and the largest amount.
//
//	share.Set(now, 10, 2)
//	if share.Amount(now) >= 1 {
//		share.Take(now, 1)
//	}
func (s *Share) Set(now time.Time, rate, bound float64) {
	s.count(now)
	s.rate, s.bound = rate, bound
	s.amount = min(s.amount, bound)
}

func (s *Share) count(now time.Time) {
	if passed := now.Sub(s.countedAt); !s.countedAt.IsZero() && passed > 0 {
		s.amount = min(s.amount+s.rate*passed.Seconds(), s.bound)
	}
	s.countedAt = now
}

// Rate returns the growth per second.
func (s *Share) Rate() float64 { return s.rate }

// Amount returns the amount; negative if more was taken than there was.
func (s *Share) Amount(now time.Time) float64 {
	s.count(now)
	return s.amount
}

// Wait returns the time until an amount is there; false if it never will be.
func (s *Share) Wait(now time.Time, amount float64) (time.Duration, bool) {
	s.count(now)
	if s.rate <= 0 {
		return 0, false
	}
	wait := max(amount-s.amount, 0) / s.rate
	return min(time.Duration(min(wait, maxWait.Seconds())*float64(time.Second)), maxWait), true
}

// Take takes an amount, even if there is less. A negative one is given back.
func (s *Share) Take(now time.Time, amount float64) {
	s.count(now)
	s.amount = min(s.amount-amount, s.bound)
}

// Empty drops what has accumulated.
func (s *Share) Empty(now time.Time) {
	s.count(now)
	s.amount = min(s.amount, 0)
}

// Forgive bounds the amount by which more was taken than there was.
func (s *Share) Forgive(now time.Time, largest float64) {
	s.count(now)
	s.amount = max(s.amount, -largest)
}
