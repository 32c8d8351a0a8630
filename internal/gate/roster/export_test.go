package roster

// Tracked returns the number of targets with a stored version, including removed
// ones.
func (s *State) Tracked() int { return len(s.versions) }
