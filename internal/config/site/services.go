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
		targets := newDefinitions("target of this service")
		for j, target := range service.Targets {
			at := index(path+".targets", j)
			c.define(targets, at+".name", target.Name)
			c.checkAddress(at+".address", target.Address, "target "+target.Name)
			c.checkReference(c.dataCentres, at+".dataCentre", target.DataCentre)
		}
		c.checkNotNegative(path+".timeoutMillis", float64(service.TimeoutMillis))
		c.checkDependsOn(path, service.DependsOn)
		c.checkCalls(path, service.Calls)
	}
}

func (c *checker) checkCalls(path string, calls []Call) {
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
		if problem := registerPattern(mux, call); problem != "" {
			c.Add(at+".path", problem, "patterns follow net/http: /deliveries, /deliveries/{id}, /files/")
		}
	}
}

// registerPattern adds a pattern to the mux. It returns the reason if the pattern is
// invalid or conflicts with an earlier one: [http.ServeMux] panics then.
func registerPattern(mux *http.ServeMux, call Call) (problem string) {
	defer func() {
		if cause := recover(); cause != nil {
			problem, _, _ = strings.Cut(fmt.Sprint(cause), "\n")
			problem = registrationSite.ReplaceAllString(problem, "")
		}
	}()
	mux.Handle(call.Method+" "+call.Path, http.NotFoundHandler())
	return ""
}

// registrationSite matches the source locations in the mux's panic message, which
// don't help an operator.
var registrationSite = regexp.MustCompile(` \(registered at [^)]*\)`)

// checkCycles reports circular dependencies between services.
func (c *checker) checkCycles(services []Service) {
	positions := make(map[string]int, len(services))
	for i, service := range services {
		positions[service.Name] = i
	}
	states := make(map[string]visitState, len(services))
	for _, service := range services {
		c.findCycles(services, positions, states, service.Name, nil)
	}
}

// visitState is the state of a service in the depth-first search for cycles.
type visitState int

const (
	unvisited visitState = iota
	visiting
	visited
)

// findCycles visits a service and its dependencies. The trail lists the services on
// the current path of the search.
func (c *checker) findCycles(services []Service, positions map[string]int, states map[string]visitState, name string, trail []string) {
	i, isService := positions[name]
	if !isService || states[name] == visited {
		return
	}
	if states[name] == visiting {
		cycle := append(trail[slices.Index(trail, name):], name)
		last := positions[trail[len(trail)-1]]
		c.Add(index("services", last)+".dependsOn", "goes in a circle: "+strings.Join(cycle, " needs "), "remove one of these")
		return
	}
	states[name] = visiting
	for _, next := range services[i].DependsOn {
		c.findCycles(services, positions, states, next, append(slices.Clone(trail), name))
	}
	states[name] = visited
}
