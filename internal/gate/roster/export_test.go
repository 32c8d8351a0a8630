package roster

// Tracked returns the number of targets with a stored version, including removed
// ones.
func (l *List) Tracked() int { return len(l.versions) }
