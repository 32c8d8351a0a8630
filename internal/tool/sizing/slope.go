package sizing

import (
	"bytes"
	_ "embed" // The recorded slopes are part of the binary.
	"encoding/json"
	"fmt"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

//go:embed slopes.jsonc
var recorded []byte

// Slope is one measured cost per unit.
type Slope struct {
	// Name identifies the slope in the arithmetic.
	Name string `json:"name"`
	// Value is the measured cost.
	Value float64 `json:"value"`
	// Unit says what the value counts, such as "ns/token".
	Unit string `json:"unit"`
	// Command is what measures it again.
	Command string `json:"command"`
	// Range is the range over which it was measured.
	Range string `json:"range"`
	// Reach says how far the arithmetic extrapolates beyond the range.
	Reach string `json:"reach"`
}

// Slopes are the recorded slopes by name.
type Slopes map[string]Slope

// MissingError means that the arithmetic needs a slope that is not recorded.
type MissingError struct {
	// Name is the slope's name.
	Name string
}

// Error returns a text for people.
func (e *MissingError) Error() string {
	return fmt.Sprintf("no slope %q is recorded", e.Name)
}

// Recorded returns the slopes that were measured with this code.
func Recorded() (Slopes, error) {
	standard, err := hujson.Standardize(bytes.Clone(recorded))
	if err != nil {
		return nil, errors.Annotate(err, "reading the recorded slopes")
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	var list []Slope
	if err := decoder.Decode(&list); err != nil {
		return nil, errors.Annotate(err, "reading the recorded slopes")
	}
	slopes := Slopes{}
	for _, slope := range list {
		if _, twice := slopes[slope.Name]; twice {
			return nil, errors.Errorf("slope %q is recorded twice", slope.Name)
		}
		slopes[slope.Name] = slope
	}
	return slopes, nil
}
