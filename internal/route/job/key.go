package job

import "math/bits"

// PlacementKey returns the hash by which a job is placed without knowledge of the
// traffic. It is the hash of the deepest block, other than the last, at a depth of
// the form 2^n or 3·2^n. The last block is left out because it often holds the start
// of the question; the coarse depths give prompts with a common prefix the same key
// even if their lengths differ by a few blocks.
func PlacementKey(j Job) uint64 {
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
