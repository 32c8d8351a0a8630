package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// bookingsPerS is the number of bookings a second, as on the sheet of Ashaiman.
	bookingsPerS = 20
	// bookingTime is for how long clients send them.
	bookingTime = 30 * time.Second
	// spoiled is in how many answers one is spoiled: x = 0.03.
	spoiled = 34
	// spoilTime is for how long targets spoil answers at a time, spoilPause the time
	// between two of these times.
	spoilTime  = 5 * time.Second
	spoilPause = time.Second
	// settleTime is how long after the last answer a request may still run again.
	settleTime = 2 * time.Second
)

// extraBytes lets half of the plain targets send bytes of no request after some of their
// answers, and checks that no booking runs twice, and none that was refused.
func extraBytes(ctx context.Context, s *site) ([]string, error) {
	if err := s.startSmall(ctx, 1, 2); err != nil {
		return nil, err
	}
	spoiling, stop := context.WithCancel(ctx)
	defer stop()
	if trouble() {
		go s.spoil(spoiling)
	}
	statuses := map[string]int{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for n := range bookingsPerS * int(bookingTime/time.Second) {
		id, g := fmt.Sprintf("booking-%d", n), s.gateways[n%len(s.gateways)]
		clients.Go(func() {
			status := s.book(g, id)
			mu.Lock()
			defer mu.Unlock()
			statuses[id] = status
		})
		if !sleep(ctx, time.Second/bookingsPerS) {
			break
		}
	}
	clients.Wait()
	sleep(ctx, settleTime)
	return s.judgeBookings(statuses), nil
}

// spoil lets half of the plain targets spoil answers for some seconds, again and again.
func (s *site) spoil(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range s.engines[:plainTargets/2] {
			e.setExtra(spoiled)
			s.record.add("one in %d answers of %s is followed by bytes of no request for %v", spoiled, e.id, spoilTime)
		}
		sleep(ctx, spoilTime)
		for _, e := range s.engines[:plainTargets/2] {
			e.setExtra(0)
		}
		sleep(ctx, spoilPause)
	}
}

// judgeBookings returns the bookings that ran twice, and those that were refused and ran.
func (s *site) judgeBookings(statuses map[string]int) (broken []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[int]int{}
	for id, status := range statuses {
		counts[status]++
		ran := s.runs[id]
		if len(ran) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran at %s and was answered %d", id, strings.Join(ran, " and "), status))
		}
		refused := slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
		if refused && len(ran) > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: %s ran at %s and was answered %d", id, strings.Join(ran, " and "), status))
		}
	}
	s.record.add("answers by status, 0 for none: %v", counts)
	slices.Sort(broken)
	return broken
}

// book sends a booking and returns the status of its answer; zero for none.
func (s *site) book(g *gateway, id string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+g.front+"/bookings/x", strings.NewReader("book "+id))
	if err != nil {
		return 0
	}
	request.Host = hostName
	request.Header.Set("X-Cicadamill-Request-Id", id)
	request.Header.Set("X-Cicadamill-Deadline-Ms", "3000")
	request.Header.Set("X-Cicadamill-Key", keyOf(tenants[0]))
	s.record.add("%s is sent to %s", id, g.name)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		s.record.add("%s: %v", id, err)
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
	s.record.add("%s is answered %d", id, answer.StatusCode)
	return answer.StatusCode
}
