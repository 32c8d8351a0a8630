package roster

// Remembered returns how many targets something is known of, gone ones included.
func (s *State) Remembered() int { return len(s.versions) }
