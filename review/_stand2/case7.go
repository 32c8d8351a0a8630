package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// rolls is how often all hosts are restarted in turn.
	rolls = 3
	// rollGap is the time between two of these restarts.
	rollGap = time.Second
	// rollTime is the time from one named version to the next.
	rollTime = 26 * time.Second
)

// ordersInTurn names new weights and restarts the hosts in turn, the one that sends the
// orders first, while one engine leaves its orders unanswered.
func ordersInTurn(ctx context.Context, s *site) ([]string, error) {
	if err := s.startSmall(ctx, 9, 4); err != nil {
		return nil, err
	}
	for n := range rolls {
		if err := s.rollDuringLoad(ctx, n+2); err != nil {
			return s.turns(), err
		}
	}
	s.record.add("%s", s.unanswered())
	return s.turns(), nil
}

// rollDuringLoad names new weights, and restarts all hosts in turn once the first order
// has been sent.
func (s *site) rollDuringLoad(ctx context.Context, version int) error {
	ctx, cancel := context.WithTimeout(ctx, rollTime)
	defer cancel()
	if trouble() {
		s.firstEngine().setSilent(true)
		time.AfterFunc(7*time.Second, func() { s.firstEngine().setSilent(false) })
	}
	before := len(s.firstEngine().ordersSeen())
	if err := s.nameWeights(version); err != nil {
		return err
	}
	for len(s.firstEngine().ordersSeen()) == before {
		if !sleep(ctx, 10*time.Millisecond) {
			return fmt.Errorf("no order for weights %d", version)
		}
	}
	var restarts sync.WaitGroup
	if trouble() {
		waiting := map[string]*gateway{}
		for _, g := range s.gateways {
			waiting[g.name] = g
		}
		for len(waiting) > 0 {
			g := s.holder(waiting)
			delete(waiting, g.name)
			restarts.Go(func() { g.restart(ctx) })
			sleep(ctx, rollGap)
		}
	}
	restarts.Wait()
	<-ctx.Done()
	return nil
}

// unanswered tells how many orders got no answer, of those within the times in which the
// first engine gives none.
func (s *site) unanswered() string {
	without, all := 0, 0
	for _, e := range s.engines {
		for _, o := range e.ordersSeen() {
			if !o.inTrouble {
				continue
			}
			all++
			if o.status == 0 {
				without++
			}
		}
	}
	return fmt.Sprintf("%d of %d orders in the time of trouble got no answer", without, all)
}

// firstEngine returns the model engine that leaves its orders unanswered.
func (s *site) firstEngine() *engine { return s.engines[plainTargets] }

// holder returns the host that holds the lease for orders; any other if it isn't among
// those that wait for their restart.
func (s *site) holder(waiting map[string]*gateway) *gateway {
	var lease struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(s.storeRow("orders/lease"), &lease)
	name, _, _ := strings.Cut(lease.Holder, "/")
	if g := waiting[name]; g != nil {
		return g
	}
	for _, g := range s.gateways {
		if waiting[g.name] != nil {
			return g
		}
	}
	return nil
}

// turns returns where holders took turns at an engine: the holder changed twice in a row,
// each time less than leaseMs after the last order of the one before, and less than leaseMs
// after the other change. A single change is recorded only.
func (s *site) turns() (broken []string) {
	for _, e := range s.engines {
		orders := e.ordersSeen()
		var last string
		var lastAt time.Time
		for i := 1; i < len(orders); i++ {
			before, o := orders[i-1], orders[i]
			if o.holder == before.holder {
				continue
			}
			gap := o.at.Sub(before.at)
			change := fmt.Sprintf("%s (fence %d) %d ms after %s (fence %d)", o.holder, o.fence, gap.Milliseconds(), before.holder, before.fence)
			if o.fence <= before.fence {
				broken = append(broken, fmt.Sprintf("ONE: %s got an order with a lower fence: %s", e.id, change))
			}
			if gap >= leaseTime {
				last = ""
				continue
			}
			s.record.add("%s got an order from %s, leaseMs is %d", e.id, change, leaseTime.Milliseconds())
			if last != "" && o.at.Sub(lastAt) < leaseTime {
				broken = append(broken, fmt.Sprintf("ONE: holders took turns at %s: %s, then %s; leaseMs is %d", e.id, last, change, leaseTime.Milliseconds()))
			}
			last, lastAt = change, o.at
		}
	}
	return broken
}
