package measure

import (
	"slices"
	"time"

	"galenastair"
)

// sequence is one request on an engine.
type sequence struct {
	call         *call
	priority     int
	promptLeft   int
	outputTokens int
	onFirstToken func()
	onDone       func(ok bool)
}

// engine is the cost model of an engine: it processes a batch in steps and prefills
// prompts in chunks.
type engine struct {
	id          galenastair.BackendServerID
	zone        galenastair.AvailabilityZone
	slowdown    float64
	failed      bool
	running     []*sequence
	waiting     []*sequence
	cache       map[uint64]int
	lastUse     int
	inStep      bool
	cacheEvents []galenastair.CacheEvent
	loaded      []galenastair.LoadedWeights
}

func (e *engine) ready(m galenastair.ModelName) bool {
	for _, l := range e.loaded {
		if l.Weight.Name == m && l.State == galenastair.LoadStateReady {
			return true
		}
	}
	return false
}

func (e *engine) add(s *sequence) {
	i := len(e.waiting)
	for i > 0 && s.priority < e.waiting[i-1].priority {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, s)
}

// startStep starts a step and returns its duration, or zero if there is no work.
func (e *engine) startStep() time.Duration {
	for len(e.running) < batchSize && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.promptLeft = max(1, s.call.prompt-blockTokens*e.cachedBlocks(s.call.prefix))
		e.running = append(e.running, s)
	}
	if len(e.running) == 0 {
		return 0
	}
	var took time.Duration
	models := map[galenastair.ModelName]bool{}
	chunk := promptChunkTokens
	for _, s := range e.running {
		models[s.call.model[:3]] = true
		took += stepTimePerSequence
		read := min(chunk, s.promptLeft)
		chunk -= read
		s.promptLeft -= read
		took += time.Duration(read) * stepTimePerPromptToken
		if read > 0 && s.promptLeft == 0 {
			e.cachePrompt(s.call.prefix)
		}
	}
	took += time.Duration(len(models)) * stepTimePerModel
	return time.Duration(float64(took) * e.slowdown)
}

// finishStep ends a step: every sequence with a prefilled prompt outputs one token.
func (e *engine) finishStep() (first, done []*sequence) {
	kept := e.running[:0]
	for _, s := range e.running {
		if s.promptLeft > 0 {
			kept = append(kept, s)
			continue
		}
		s.outputTokens++
		if s.outputTokens == 1 {
			first = append(first, s)
		}
		if s.outputTokens >= s.call.output {
			done = append(done, s)
			continue
		}
		kept = append(kept, s)
	}
	e.running = kept
	return first, done
}

func (e *engine) cachedBlocks(prefix []uint64) int {
	for i, h := range prefix {
		if _, ok := e.cache[h]; !ok {
			return i
		}
		e.lastUse++
		e.cache[h] = e.lastUse
	}
	return len(prefix)
}

// cachePrompt caches the blocks of a prompt. Once the cache exceeds cacheBlocks by a
// quarter, it evicts the least recently used blocks down to cacheBlocks.
func (e *engine) cachePrompt(prefix []uint64) {
	for _, h := range prefix {
		if _, ok := e.cache[h]; !ok {
			e.cacheEvents = append(e.cacheEvents, galenastair.CacheEvent{Prefix: h})
		}
		e.lastUse++
		e.cache[h] = e.lastUse
	}
	if len(e.cache) < cacheBlocks+cacheBlocks/4 {
		return
	}
	uses := make([]int, 0, len(e.cache))
	for _, u := range e.cache {
		uses = append(uses, u)
	}
	slices.Sort(uses)
	oldest := uses[len(uses)-cacheBlocks]
	var dropped []uint64
	for h, u := range e.cache {
		if u < oldest {
			dropped = append(dropped, h)
		}
	}
	slices.Sort(dropped)
	for _, h := range dropped {
		delete(e.cache, h)
		e.cacheEvents = append(e.cacheEvents, galenastair.CacheEvent{Prefix: h, Evicted: true})
	}
}

func (e *engine) report() galenastair.EngineReport {
	return galenastair.EngineReport{
		BackendServer: e.id,
		Age:           reportLag,
		Running:       len(e.running),
		Waiting:       len(e.waiting),
		Loaded:        slices.Clone(e.loaded),
	}
}

// fail makes the engine fail, as if its process had crashed. It returns the sequences
// that were running or waiting.
func (e *engine) fail() []*sequence {
	all := append(slices.Clone(e.running), e.waiting...)
	e.running, e.waiting, e.loaded = nil, nil, nil
	e.failed = true
	return all
}
