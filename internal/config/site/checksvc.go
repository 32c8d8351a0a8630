package site

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

var methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)

func (c *checker) checkServices(services []Service) {
	for i, service := range services {
		path := index("services", i)
		if len(service.Targets) == 0 {
			c.Add(path+".targets", "is empty", "list at least one target")
		}
		targets := newNames("target of this service")
		for j, target := range service.Targets {
			at := index(path+".targets", j)
			c.define(targets, at+".name", target.Name)
			c.address(at+".address", target.Address, "target "+target.Name)
			c.refer(c.dataCentres, at+".dataCentre", target.DataCentre)
		}
		c.notNegative(path+".timeoutMillis", float64(service.TimeoutMillis))
		c.dependsOn(path, service.DependsOn)
		c.calls(path, service.Calls)
	}
}

func (c *checker) calls(path string, calls []Call) {
	mux := http.NewServeMux()
	for i, call := range calls {
		at := index(path+".calls", i)
		if !methodPattern.MatchString(call.Method) {
			c.Add(at+".method", fmt.Sprintf("%q is no HTTP method", call.Method), "use capital letters, such as POST")
			continue
		}
		if !strings.HasPrefix(call.Path, "/") {
			c.Add(at+".path", fmt.Sprintf("%q does not begin with a slash", call.Path), "write the path below the service, such as /deliveries")
			continue
		}
		if problem := register(mux, call); problem != "" {
			c.Add(at+".path", problem, "patterns follow net/http: /deliveries, /deliveries/{id}, /files/")
		}
	}
}

// register reports why a pattern can't be used, or clashes with an earlier one.
func register(mux *http.ServeMux, call Call) (problem string) {
	defer func() {
		if cause := recover(); cause != nil {
			problem, _, _ = strings.Cut(fmt.Sprint(cause), "\n")
			problem = withoutPlaces.ReplaceAllString(problem, "")
		}
	}()
	mux.Handle(call.Method+" "+call.Path, http.NotFoundHandler())
	return ""
}

// withoutPlaces removes places in this program's source from a message.
var withoutPlaces = regexp.MustCompile(` \(registered at [^)]*\)`)

// checkCycles reports each service that needs itself in the end.
func (c *checker) checkCycles(services []Service) {
	at := make(map[string]int, len(services))
	for i, service := range services {
		at[service.Name] = i
	}
	state := make(map[string]visit, len(services))
	for _, service := range services {
		c.follow(services, at, state, service.Name, nil)
	}
}

type visit int

const (
	fresh visit = iota
	open
	closed
)

func (c *checker) follow(services []Service, at map[string]int, state map[string]visit, name string, trail []string) {
	i, isService := at[name]
	if !isService || state[name] == closed {
		return
	}
	if state[name] == open {
		cycle := append(trail[slices.Index(trail, name):], name)
		last := at[trail[len(trail)-1]]
		c.Add(index("services", last)+".dependsOn", "goes in a circle: "+strings.Join(cycle, " needs "), "remove one of these")
		return
	}
	state[name] = open
	for _, next := range services[i].DependsOn {
		c.follow(services, at, state, next, append(slices.Clone(trail), name))
	}
	state[name] = closed
}
