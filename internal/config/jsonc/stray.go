package jsonc

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Strays returns an issue for each member that encoding/json would decode into a field
// of t which another member also sets, and for each that it would ignore although its
// name is similar to that of a field. Other unknown members have no issue: the text may
// have other readers.
func (d *Document) Strays(t reflect.Type) []Issue {
	if !d.Parsed() {
		return nil
	}
	found := &Document{source: d.source}
	found.addStrays("", d.root, t)
	return found.issues
}

func (d *Document) addStrays(path string, v hujson.Value, t reflect.Type) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch value := v.Value.(type) {
	case *hujson.Object:
		if t.Kind() == reflect.Struct {
			d.addObjectStrays(path, value, t)
		}
	case *hujson.Array:
		if t.Kind() == reflect.Slice {
			for i, element := range value.Elements {
				d.addStrays(path+"["+strconv.Itoa(i)+"]", element, t.Elem())
			}
		}
	}
}

func (d *Document) addObjectStrays(path string, object *hujson.Object, t reflect.Type) {
	fields := map[string]int{}
	for name, index := range fieldsOf(t) {
		fields[strings.ToLower(name)] = index
	}
	given := map[int]int{}
	for _, member := range object.Members {
		name := unquote(member.Name.Value.(hujson.Literal))
		index, known := fields[strings.ToLower(name)]
		if !known {
			continue
		}
		if first, twice := given[index]; twice {
			line, column := Position(d.source, first)
			d.add(member.Name.StartOffset, join(path, name), "is given twice", fmt.Sprintf("remove it here or at %d:%d", line, column))
			continue
		}
		given[index] = member.Name.StartOffset
		d.addStrays(join(path, name), member.Value, t.Field(index).Type)
	}
	for _, member := range object.Members {
		name := unquote(member.Name.Value.(hujson.Literal))
		if _, known := fields[strings.ToLower(name)]; known {
			continue
		}
		all := fieldsOf(t)
		for _, field := range slices.Sorted(maps.Keys(all)) {
			if _, ok := given[all[field]]; !ok && isSimilar(name, field) {
				d.add(member.Name.StartOffset, join(path, name), "is not read", "did you mean "+strconv.Quote(field)+"?")
				break
			}
		}
	}
}

// isSimilar reports whether one of two names is probably a misspelling of the other.
func isSimilar(a, b string) bool {
	// Short names that differ in two bytes are mostly different words.
	limit := 1
	if min(len(a), len(b)) > 6 {
		limit = 2
	}
	if max(len(a)-len(b), len(b)-len(a)) > limit {
		return false
	}
	return editDistance(strings.ToLower(a), strings.ToLower(b)) <= limit
}
