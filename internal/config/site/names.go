package site

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
)

// namePattern keeps names fit for paths, labels and keys.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

// names are the things of one kind that can be referred to, with where each
// was defined.
type names struct {
	kind  string
	paths map[string]string
}

func newNames(kind string) names { return names{kind: kind, paths: map[string]string{}} }

func (n names) has(name string) bool {
	_, ok := n.paths[name]
	return ok
}

// index returns the path of a list's element.
func index(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// name checks the form of a name.
func (c *checker) name(path, name string) bool {
	switch {
	case name == "":
		c.Add(path, "is missing", "give it a name")
	case !namePattern.MatchString(name):
		c.Add(path, fmt.Sprintf("%q is no usable name", name), "use 1 to 63 letters, digits, dots, dashes and underscores, beginning with a letter or digit")
	default:
		return true
	}
	return false
}

// define adds a name to those that can be referred to.
func (c *checker) define(kind names, path, name string) {
	if !c.name(path, name) {
		return
	}
	if first, ok := kind.paths[name]; ok {
		c.Add(path, fmt.Sprintf("another %s is named %q, at %s", kind.kind, name, first), "choose another name or remove one")
		return
	}
	kind.paths[name] = path
}

// refer checks that a name stands for something.
func (c *checker) refer(kind names, path, name string) bool {
	switch {
	case name == "":
		c.Add(path, "is missing", "name a "+kind.kind)
	case !kind.has(name):
		c.Add(path, fmt.Sprintf("there is no %s %q", kind.kind, name), "define it or mend the name")
	default:
		return true
	}
	return false
}

// referAll checks a list of names, each of which may stand there once.
func (c *checker) referAll(kind names, path string, list []string) {
	seen := make(map[string]bool, len(list))
	for i, name := range list {
		if seen[name] {
			c.Add(index(path, i), fmt.Sprintf("%q is listed twice", name), "remove one")
			continue
		}
		seen[name] = true
		c.refer(kind, index(path, i), name)
	}
}

// address checks an IP number with a port. Names are never looked up.
func (c *checker) address(path, address, owner string) {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case address == "":
		c.Add(path, "is missing", "give an IP number and a port, such as 10.0.0.7:8000")
	case err != nil || parsed.Port() == 0:
		c.Add(path, fmt.Sprintf("%q is no IP number with a port", address), "names are not looked up; write for example 10.0.0.7:8000 or [fd00::7]:8000")
	case c.addresses[address] != "":
		c.Add(path, fmt.Sprintf("%s is the address of %s, too", address, c.addresses[address]), "give each target its own")
	default:
		c.addresses[address] = owner
	}
}

func (c *checker) notNegative(path string, value float64) {
	if value < 0 {
		c.Add(path, fmt.Sprintf("is %v", value), "it can't be negative")
	}
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	if value == "" {
		return
	}
	for _, word := range allowed {
		if value == word {
			return
		}
	}
	c.Add(path, fmt.Sprintf("%q is not known", value), fmt.Sprintf("use one of %q", allowed))
}
