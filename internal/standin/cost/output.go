package cost

// OutputTokens returns the number of output tokens of a call so far, and false if
// the call is not in the batch.
func (e *Engine) OutputTokens(id string) (int, bool) {
	for _, c := range e.running {
		if c.ID == id {
			return c.generated, true
		}
	}
	return 0, false
}
