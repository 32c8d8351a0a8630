package model

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Fault is something that goes wrong on demand.
type Fault struct {
	// Kind is "crash", "cut" (end every call, but not the engine), "stall" (give
	// no token), "slow" (take Factor times as long), "loseEvents", "leave" or
	// "stay".
	Kind string `json:"kind"`
	// Millis is how long it lasts, where it lasts.
	Millis int `json:"millis"`
	// Factor is how much slower a slow engine is.
	Factor float64 `json:"factor"`
}

// Inject makes something go wrong.
//
//	err := standin.Inject(model.Fault{Kind: "stall", Millis: 5000})
func (e *Engine) Inject(f Fault) error {
	if f.Kind == "crash" {
		e.Crash()
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	until := time.Now().Add(time.Duration(f.Millis) * time.Millisecond)
	switch f.Kind {
	case "cut":
		for _, c := range e.running {
			c.lose()
		}
	case "stall":
		e.frozenUntil = until
	case "slow":
		e.slowUntil, e.slowBy = until, max(1, f.Factor)
	case "loseEvents":
		e.loseUntil = until
	case "leave", "stay":
		e.leaving = f.Kind == "leave"
	default:
		return fmt.Errorf("no such fault: %q", f.Kind)
	}
	return nil
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		refuse(w, http.StatusBadRequest, engine.Invalid, err.Error())
		return
	}
	if err := e.Inject(f); err != nil {
		refuse(w, http.StatusBadRequest, engine.Invalid, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
