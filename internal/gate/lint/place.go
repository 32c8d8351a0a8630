package lint

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cicadamill/cicadamill/internal/gate/plan"
)

// Entry is a list of entries in a configuration.
type Entry int

// Lists of entries.
const (
	// Whole refers to fields outside of the lists.
	Whole Entry = iota
	// Route refers to the routes.
	Route
	// Service refers to the services and stores.
	Service
	// Workspace refers to the workspaces.
	Workspace
)

// Field is a field of an entry.
type Field int

// Fields of entries.
const (
	// NoField refers to a whole entry.
	NoField Field = iota
	Version
	HeaderBytes
	BodyBytes
	HeaderTimeout
	IdleTimeout
	Name
	Host
	Prefix
	Kind
	// OneService is the service of a route that has no list of splits.
	OneService
	// Splits is a route's list of splits, SplitService and SplitWeight the fields of
	// one of them.
	Splits
	SplitService
	SplitWeight
	Timeout
	Objective
	LongestPause
	Attempts
	Priority
	Anonymous
	Resumable
	MaxConns
	// Engines is the description of a service's engines; the following are its fields.
	Engines
	Slots
	EngineCacheTokens
	TokenBytes
	EngineLinkMbps
	Models
	Address
	DataCentre
	StoreCacheTokens
	StoreLinkMbps
	Isolated
	Rate
	Burst
	Unit
	UncachedTokens
	Keys
	// Workspaces is the list of workspaces.
	Workspaces
	// fieldCount is the number of fields.
	fieldCount
)

// Fields returns all fields, for tables that must name each of them.
func Fields() []Field {
	all := make([]Field, 0, fieldCount)
	for f := Version; f < fieldCount; f++ {
		all = append(all, f)
	}
	return all
}

// Names are the names that operators use for entries, fields and kinds.
type Names struct {
	Entries map[Entry]string
	// Fields holds the path of each field in its entry. A pair of brackets stands for
	// the index of an item, as in "split[].weight".
	Fields map[Field]string
	Kinds  map[plan.Kind]string
	// TokenUnit is the unit of limits that count tokens.
	TokenUnit string
}

// Field returns the name of a field.
func (n Names) Field(f Field) string { return strings.ReplaceAll(n.Fields[f], "[]", "") }

// Place is where a finding is.
type Place struct {
	Entry Entry
	// Index is the index of the entry in its list.
	Index int
	// Name is the name that the entry has, which may be empty.
	Name  string
	Field Field
	// Item is the index of an item in a field that is a list.
	Item int
}

// Path returns the path of the place, such as "routes[3].timeoutMs".
func (p Place) Path(n Names) string {
	field := strings.Replace(n.Fields[p.Field], "[]", "["+strconv.Itoa(p.Item)+"]", 1)
	if p.Entry == Whole {
		return field
	}
	path := fmt.Sprintf("%s[%d]", n.Entries[p.Entry], p.Index)
	if field != "" {
		path += "." + field
	}
	return path
}

// Label returns the entry with its name, such as `routes "reports"`.
func (p Place) Label(n Names) string {
	switch {
	case p.Entry == Whole:
		return ""
	case p.Name == "":
		return Place{Entry: p.Entry, Index: p.Index}.Path(n)
	default:
		return fmt.Sprintf("%s %q", n.Entries[p.Entry], p.Name)
	}
}

// at returns the place of a field in the entry.
func (p Place) at(f Field) Place {
	p.Field, p.Item = f, 0
	return p
}

// item returns the place of an item of a field.
func (p Place) item(f Field, i int) Place {
	p.Field, p.Item = f, i
	return p
}
