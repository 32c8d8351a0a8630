package cost

// Out returns how many tokens a call in the batch has given; false means that
// it is not in the batch.
func (e *Engine) Out(id string) (int, bool) {
	for _, c := range e.running {
		if c.ID == id {
			return c.out, true
		}
	}
	return 0, false
}
