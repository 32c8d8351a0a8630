package job

import "math/bits"

// Key returns the hash that places a job when nothing is known of the traffic.
// It is the deepest block at a depth of the form 2^n or 3·2^n that is not the
// last: the last block often holds the start of the question, and prompts of
// one sheet whose questions end in different blocks still get one key.
func Key(j Job) uint64 {
	if len(j.Blocks) == 0 {
		return j.Fingerprint
	}
	return j.Blocks[keyDepth(len(j.Blocks))-1]
}

func keyDepth(blocks int) int {
	if blocks <= 2 {
		return 1
	}
	rest := blocks - 1
	depth := 1 << (bits.Len(uint(rest)) - 1)
	if half := depth + depth/2; half <= rest {
		return half
	}
	return depth
}
