package cell

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// storedBlocks bounds the list of blocks known to be in the KV store.
	storedBlocks = 65536
	// importBaseTime is the fixed part of an import's expected duration.
	// importBlockTime is the initial estimate for each block; importTimeGain is the
	// weight of each new sample in it.
	importBaseTime  = 20 * time.Millisecond
	importBlockTime = 25 * time.Millisecond
	importTimeGain  = 0.2
	// importWeight is the cost of a second of import on top of the delay.
	importWeight = 0.2
	// importTimeout is how long a request waits for an import.
	importTimeout = 5 * time.Second
	// maxImports bounds the concurrent imports into one engine; workspaces below
	// their share may use extraImports more.
	maxImports   = 2
	extraImports = 2
	importPause  = 20 * time.Millisecond
	// storeBackOff is how long the KV store is not read after a failed import.
	storeBackOff = 5 * time.Second
	// minImportBlocks is the smallest number of blocks worth an import.
	minImportBlocks = 2
)

// kvStore tracks which blocks the KV store holds and how long imports take.
type kvStore struct {
	present      bool
	blocks       *simplelru.LRU[uint64, struct{}]
	backOffUntil time.Time
	// perBlock is the moving average of the time to import a block, in seconds.
	perBlock float64
}

func newKVStore() *kvStore {
	blocks, _ := simplelru.NewLRU[uint64, struct{}](storedBlocks, nil)
	return &kvStore{blocks: blocks, perBlock: importBlockTime.Seconds()}
}

func (s *kvStore) add(blocks []uint64) {
	for _, block := range blocks {
		s.blocks.Add(block, struct{}{})
	}
}

func (s *kvStore) depth(now time.Time, blocks []uint64) int {
	if !s.present || now.Before(s.backOffUntil) {
		return 0
	}
	for i, block := range blocks {
		if !s.blocks.Contains(block) {
			return i
		}
	}
	return len(blocks)
}

// source is an engine or the KV store that holds the first blocks of a prompt.
type source struct {
	// target is the engine; nil means the KV store.
	target *target
	depth  int
}

// source returns the source that holds the longest prefix of a request's prompt.
func (s State) source(now time.Time, r *request) source {
	best := source{depth: s.kvStore.depth(now, r.job.Blocks)}
	for _, t := range s.targets {
		if !t.usable(now) || !t.serves(r) || !t.sameWeights(r) {
			continue
		}
		if depth := t.readyDepth(r); depth > best.depth {
			best = source{target: t, depth: depth}
		}
	}
	return best
}

// readyDepth returns the length in blocks of the prompt prefix that the engine
// holds, up to the first block that is still being computed or imported.
func (t *target) readyDepth(r *request) int {
	depth := t.cache.Depth(r.job.Blocks)
	if len(t.pending) == 0 {
		return depth
	}
	for i, block := range r.job.Blocks[:depth] {
		if _, computing := t.pending[block]; computing {
			return i
		}
	}
	return depth
}

// importTime returns the expected duration of an import, in seconds.
func (s State) importTime(blocks int) float64 {
	return importBaseTime.Seconds() + float64(blocks)*s.kvStore.perBlock
}

// worthImport returns the source to import from before a request is sent, and
// whether importing costs less than computing the blocks. Each request tries one
// import for each engine that it is queued at.
func (s State) worthImport(now time.Time, r *request) (source, bool) {
	t := r.target
	if r.importTried || t.cache.Incarnation() == "" || !t.sameWeights(r) {
		return source{}, false
	}
	from, cached := s.source(now, r), t.cache.Depth(r.job.Blocks)
	blocks := from.depth - cached
	if from.target == t || blocks < minImportBlocks {
		return source{}, false
	}
	compute := float64(blocks*r.job.BlockTokens) * t.load.TokenTime()
	return from, s.importTime(blocks)*(1+importWeight) < compute*(1+s.recomputeWeight())
}

// canImport reports whether another import into an engine may start. Workspaces
// below their share have a higher limit, because the KV store that imports share
// does not order them by workspace.
func (s State) canImport(t *target, underShare bool) bool {
	if underShare {
		return t.imports < maxImports+extraImports
	}
	return t.imports < maxImports
}

// startImport starts an import for a queued request. Other requests that need the
// same blocks wait for it too.
func (s *State) startImport(now time.Time, r *request, from source) Command {
	t := r.target
	blocks := r.job.Blocks[t.cache.Depth(r.job.Blocks):from.depth]
	for _, block := range blocks {
		t.pending[block] = r.job.ID
	}
	r.importBlocks, r.importTried = blocks, true
	r.importUntil = now.Add(importTimeout)
	s.count.Imports++
	t.imports++
	command := Import{
		Job: r.job.ID, Target: t.Name, Incarnation: t.cache.Incarnation(), Workspace: r.job.Workspace,
		WeightVersion: r.job.WeightVersion, Blocks: r.job.Blocks[:from.depth],
	}
	if from.target != nil {
		command.Source = from.target.Name
	}
	return command
}

// endImport releases a request and all others that wait for its import.
func (s *State) endImport(r *request) {
	if r.importBlocks == nil {
		return
	}
	r.target.imports--
	for _, block := range r.importBlocks {
		if r.target.pending[block] == r.job.ID {
			delete(r.target.pending, block)
		}
	}
	r.importBlocks = nil
}

// imported handles the end of an import. The blocks are recorded as cached only
// if the request still waits for them, the engine has not restarted, and it
// serves the weights that computed them.
func (s *State) imported(now time.Time, m Imported) []Command {
	if m.Job == "" {
		s.endReplication(now, m)
		return nil
	}
	if m.Blocks == 0 {
		s.kvStore.backOffUntil = now.Add(storeBackOff)
	}
	r, ok := s.running[m.Job]
	if !ok || r.importBlocks == nil || r.target.Name != m.Target {
		return nil
	}
	t := r.target
	s.endImport(r)
	current := t.cache.Incarnation() == m.Incarnation && t.serves(r) && t.sameWeights(r) && r.job.WeightVersion == m.WeightVersion
	if current && m.Blocks > 0 {
		t.cache.Touch(now, r.job.Blocks[:min(m.Blocks, len(r.job.Blocks))])
		perBlock := m.Took.Seconds() / float64(m.Blocks)
		s.kvStore.perBlock += importTimeGain * (perBlock - s.kvStore.perBlock)
	}
	return s.dispatch(now, t)
}
