package cell

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// storedBlocks bounds the belief about the KV store.
	storedBlocks = 65536
	// importBase and importBlock are the time that an import is first expected
	// to take, in all and for each block.
	importBase  = 20 * time.Millisecond
	importBlock = 25 * time.Millisecond
	importGain  = 0.2
	// importWeight is what a second of import counts for beyond the delay.
	importWeight = 0.2
	// importTimeout is how long a request waits for an import.
	importTimeout = 5 * time.Second
	// maxImports bounds the imports of one engine; a workspace that is behind its
	// share may go beyond by extraImports.
	maxImports   = 2
	extraImports = 2
	importPause  = 20 * time.Millisecond
	// storeBackOff is how long the KV store is left alone after a failure.
	storeBackOff = 5 * time.Second
	// minImport is the least number of blocks worth an import.
	minImport = 2
)

// store is the belief about the KV store.
type store struct {
	present bool
	blocks  *simplelru.LRU[uint64, struct{}]
	avoid   time.Time
	// perBlock is the observed time to import a block, in seconds.
	perBlock float64
}

func newStore() *store {
	blocks, _ := simplelru.NewLRU[uint64, struct{}](storedBlocks, nil)
	return &store{blocks: blocks, perBlock: importBlock.Seconds()}
}

func (s *store) add(blocks []uint64) {
	for _, block := range blocks {
		s.blocks.Add(block, struct{}{})
	}
}

func (s *store) depth(now time.Time, blocks []uint64) int {
	if !s.present || now.Before(s.avoid) {
		return 0
	}
	for i, block := range blocks {
		if !s.blocks.Contains(block) {
			return i
		}
	}
	return len(blocks)
}

// source is where the most of a prompt is thought to be found.
type source struct {
	// target is the engine; nil means the KV store.
	target *target
	depth  int
}

// source returns where the most of a request's prompt is cached.
func (s State) source(now time.Time, r *run) source {
	best := source{depth: s.store.depth(now, r.job.Blocks)}
	for _, t := range s.targets {
		if !t.usable(now) || !t.serves(r) || !t.names(r) {
			continue
		}
		if depth := t.ready(r); depth > best.depth {
			best = source{target: t, depth: depth}
		}
	}
	return best
}

// ready returns how many of a prompt's first blocks the engine holds without
// those that it is still computing.
func (t *target) ready(r *run) int {
	depth := t.cache.Depth(r.job.Blocks)
	if len(t.leads) == 0 {
		return depth
	}
	for i, block := range r.job.Blocks[:depth] {
		if _, computing := t.leads[block]; computing {
			return i
		}
	}
	return depth
}

// importTime is the time expected for an import of so many blocks.
func (s State) importTime(blocks int) float64 {
	return importBase.Seconds() + float64(blocks)*s.store.perBlock
}

// worthImport returns where blocks should be imported from before a request is
// sent, if that is cheaper than computing them. It is tried once on an engine.
func (s State) worthImport(now time.Time, r *run) (source, bool) {
	t := r.target
	if r.brought || t.cache.Incarnation() == "" || !t.names(r) {
		return source{}, false
	}
	from, cached := s.source(now, r), t.cache.Depth(r.job.Blocks)
	blocks := from.depth - cached
	if from.target == t || blocks < minImport {
		return source{}, false
	}
	compute := float64(blocks*r.job.BlockTokens) * t.load.Rate()
	return from, s.importTime(blocks)*(1+importWeight) < compute*(1+s.recompute())
}

// canImport reports whether another import into an engine may start. Imports
// share the KV store, where no order between workspaces is kept.
func (s State) canImport(t *target, behind bool) bool {
	if behind {
		return t.imports < maxImports+extraImports
	}
	return t.imports < maxImports
}

// bring starts an import for a waiting request. Others who need the same blocks
// wait for it too.
func (s *State) bring(now time.Time, r *run, from source) Command {
	t := r.target
	blocks := r.job.Blocks[t.cache.Depth(r.job.Blocks):from.depth]
	for _, block := range blocks {
		t.leads[block] = r.job.ID
	}
	r.importing, r.brought = blocks, true
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

// endImport lets a request and those that waited with it go on.
func (s *State) endImport(r *run) {
	if r.importing == nil {
		return
	}
	r.target.imports--
	for _, block := range r.importing {
		if r.target.leads[block] == r.job.ID {
			delete(r.target.leads, block)
		}
	}
	r.importing = nil
}

// imported takes the end of an import. The blocks count only when the engine is
// still the one that was asked, serves the weights that computed them, and the
// request still waits for it.
func (s *State) imported(now time.Time, m Imported) []Command {
	if m.Job == "" {
		s.endSpread(now, m)
		return nil
	}
	if m.Blocks == 0 {
		s.store.avoid = now.Add(storeBackOff)
	}
	r, ok := s.running[m.Job]
	if !ok || r.importing == nil || r.target.Name != m.Target {
		return nil
	}
	t := r.target
	s.endImport(r)
	current := t.cache.Incarnation() == m.Incarnation && t.serves(r) && t.names(r) && r.job.WeightVersion == m.WeightVersion
	if current && m.Blocks > 0 {
		t.cache.Touch(now, r.job.Blocks[:min(m.Blocks, len(r.job.Blocks))])
		seen := m.Took.Seconds() / float64(m.Blocks)
		s.store.perBlock += importGain * (seen - s.store.perBlock)
	}
	return s.dispatch(now, t)
}
