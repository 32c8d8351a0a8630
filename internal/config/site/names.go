package site

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
)

// namePattern restricts names to what is safe in URL paths, metric labels and table
// keys.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

// definitions holds the defined names of one kind and the path of each definition.
type definitions struct {
	kind  string
	paths map[string]string
}

func newDefinitions(kind string) definitions {
	return definitions{kind: kind, paths: map[string]string{}}
}

func (d definitions) has(name string) bool {
	_, ok := d.paths[name]
	return ok
}

// index returns the path of a list element.
func index(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// checkName reports whether a name is valid, and adds an issue if it is not.
func (c *checker) checkName(path, name string) bool {
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

// define records a name as defined. It reports invalid and duplicate names.
func (c *checker) define(defined definitions, path, name string) {
	if !c.checkName(path, name) {
		return
	}
	if first, ok := defined.paths[name]; ok {
		c.Add(path, fmt.Sprintf("another %s is named %q, at %s", defined.kind, name, first), "choose another name or remove one")
		return
	}
	defined.paths[name] = path
}

// checkReference reports whether a name is defined, and adds an issue if it is not.
func (c *checker) checkReference(defined definitions, path, name string) bool {
	switch {
	case name == "":
		c.Add(path, "is missing", "name a "+defined.kind)
	case !defined.has(name):
		c.Add(path, fmt.Sprintf("there is no %s %q", defined.kind, name), "define it or mend the name")
	default:
		return true
	}
	return false
}

// checkReferences checks that the names in a list are defined and distinct.
func (c *checker) checkReferences(defined definitions, path string, list []string) {
	seen := make(map[string]bool, len(list))
	for i, name := range list {
		if seen[name] {
			c.Add(index(path, i), fmt.Sprintf("%q is listed twice", name), "remove one")
			continue
		}
		seen[name] = true
		c.checkReference(defined, index(path, i), name)
	}
}

// checkAddress checks that an address is an IP address with a port and is used only
// once. Host names are rejected, since they are never resolved.
func (c *checker) checkAddress(path, address, owner string) {
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

func (c *checker) checkNotNegative(path string, value float64) {
	if value < 0 {
		c.Add(path, fmt.Sprintf("is %v", value), "it can't be negative")
	}
}

func (c *checker) checkOneOf(path, value string, allowed ...string) {
	if value == "" {
		return
	}
	for _, candidate := range allowed {
		if value == candidate {
			return
		}
	}
	c.Add(path, fmt.Sprintf("%q is not known", value), fmt.Sprintf("use one of %q", allowed))
}
