package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// applyTime is configApplyMs of the settings, applyMargin what is waited beyond it.
	applyTime   = 2 * time.Second
	applyMargin = 2 * time.Second
	// requestsEach is how many requests each tenant sends before and after the change.
	requestsEach = 10
)

// isolatedLater lets two tenants send requests with the same first parts, isolates one of
// them, and lets the other one send requests once the change is in force.
func isolatedLater(ctx context.Context, s *site) ([]string, error) {
	if err := s.startSmall(ctx, 2, 2); err != nil {
		return nil, err
	}
	members, sellers := tenants[0], tenants[1]
	s.askAll(members, "before")
	change := configuration{version: 2}
	if trouble() {
		change.isolated = members
	}
	if err := s.configure(change); err != nil {
		return nil, err
	}
	if !sleep(ctx, applyTime+applyMargin) {
		return nil, ctx.Err()
	}
	s.mu.Lock()
	s.uses = nil
	s.mu.Unlock()
	s.askAll(sellers, "after")
	s.askAll(members, "after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var broken []string
	for _, u := range s.uses {
		if u.tenant != u.maker && (u.tenant == change.isolated || u.maker == change.isolated) {
			broken = append(broken, fmt.Sprintf("WALL: %s of %s used part %s at %s, which a request of %s made, which is isolated", u.request, u.tenant, u.part, u.engine, u.maker))
		}
	}
	return broken, nil
}

// askAll sends requests of a tenant to all hosts in turn, one after the other.
func (s *site) askAll(tenant, when string) {
	for n := range requestsEach {
		s.ask(s.gateways[n%len(s.gateways)], tenant, fmt.Sprintf("%s-%s-%d", tenant, when, n))
	}
}

// ask sends a request for a stream and records the answer.
func (s *site) ask(g *gateway, tenant, id string) { s.askModel(g, tenant, id, model) }

// askModel is like ask for one of several models. It returns the status; zero for none.
func (s *site) askModel(g *gateway, tenant, id, model string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+g.front+"/checks/x", strings.NewReader(id))
	if err != nil {
		return 0
	}
	request.Host = hostName
	for name, value := range map[string]string{
		"X-Cicadamill-Request-Id": id, "X-Cicadamill-Deadline-Ms": "5000", "X-Cicadamill-Key": keyOf(tenant), "X-Cicadamill-Model": model,
		"X-Cicadamill-Token-Count": "9190,13", "X-Cicadamill-Prefix-Hash": "5c1e07a2:2520,91bd3f06:3780,e4402b7d" + fmt.Sprintf("%x", id) + ":2890",
	} {
		request.Header.Set(name, value)
	}
	s.record.add("%s of %s is sent to %s", id, tenant, g.name)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		s.record.add("%s: %v", id, err)
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	s.record.add("%s is answered %d with %d events, error %v", id, answer.StatusCode, strings.Count(string(text), "data: "), err)
	return answer.StatusCode
}
