// Package effect names what became of work that was handed to a target.
//
// Every path from a target's socket to a caller's answer carries one of the
// three outcomes, so that "not run" is only ever said when it is certain.
package effect

// Outcome tells whether a target ran a piece of work. It is one of [Answered],
// [NotRun] or [Unknown].
//
//	switch o := outcome.(type) {
//	case effect.Answered:
//	case effect.NotRun:
//		retry(o.Reason)
//	case effect.Unknown:
//		report(o.Reason)
//	}
type Outcome interface{ outcome() }

// Answered means that the target gave its whole answer.
type Answered struct{}

// NotRun means that the work certainly did not run: either no byte of it can
// have reached a target, or the target itself said so.
type NotRun struct {
	// Reason is a short text for logs and callers.
	Reason string
}

// Unknown means that the work may have run, wholly or in part.
type Unknown struct {
	// Reason is a short text for logs and callers.
	Reason string
}

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

// Name returns the stable name of an outcome used on the wire: "answered",
// "notRun" or "unknown". A nil outcome counts as unknown.
func Name(o Outcome) string {
	switch o.(type) {
	case Answered:
		return "answered"
	case NotRun:
		return "notRun"
	default:
		return "unknown"
	}
}

// Parse turns a name made by [Name] back into an outcome. Any other text
// becomes [Unknown], the outcome that promises least.
func Parse(name, reason string) Outcome {
	switch name {
	case "answered":
		return Answered{}
	case "notRun":
		return NotRun{Reason: reason}
	default:
		return Unknown{Reason: reason}
	}
}
