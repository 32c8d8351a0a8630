package jsonc

import (
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// offset returns the offset of the value at path. For a missing field it returns the
// offset of the object that should contain it.
func (d *Document) offset(path string) int {
	at := d.root
	for _, step := range pathSteps(path) {
		next, ok := child(at, step)
		if !ok {
			break
		}
		at = next
	}
	return at.StartOffset
}

// pathSteps splits "engines[3].address" into "engines", "[3]" and "address".
func pathSteps(path string) []string {
	if path == "" {
		return nil
	}
	return strings.Split(strings.ReplaceAll(path, "[", ".["), ".")
}

func child(v hujson.Value, step string) (hujson.Value, bool) {
	switch value := v.Value.(type) {
	case *hujson.Object:
		for _, member := range value.Members {
			if unquote(member.Name.Value.(hujson.Literal)) == step {
				return member.Value, true
			}
		}
	case *hujson.Array:
		index, err := strconv.Atoi(strings.Trim(step, "[]"))
		if err == nil && index >= 0 && index < len(value.Elements) {
			return value.Elements[index], true
		}
	}
	return hujson.Value{}, false
}

// suggest returns a hint with the most similar known field, or with all known fields
// if none is similar.
func suggest(name string, fields map[string]int) string {
	known := make([]string, 0, len(fields))
	for field := range fields {
		known = append(known, field)
	}
	slices.Sort(known)
	best, bestDistance := "", 3
	for _, field := range known {
		if distance := editDistance(strings.ToLower(name), strings.ToLower(field)); distance < bestDistance {
			best, bestDistance = field, distance
		}
	}
	if best != "" {
		return "did you mean " + strconv.Quote(best) + "?"
	}
	return "known here are " + strings.Join(known, ", ")
}

// editDistance returns the Levenshtein distance in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diagonal, row[j+1] = row[j+1], min(row[j]+1, row[j+1]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
