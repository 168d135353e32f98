package request

import (
	"math"
	"sync"

	"galenastair"
)

const (
	// templateTokens covers what an engine puts around a prompt.
	templateTokens = 16
	// learnAfter is how many answers of a model are seen before their ratio is
	// used in place of the sure bound of one token for each byte.
	learnAfter = 20
	// learnWindow is how many answers one window of observation holds; the present
	// and the last window count, so that a change of language shows soon.
	learnWindow = 500
	// learnMargin is kept above the highest ratio seen.
	learnMargin = 1.25
)

// estimator says how many tokens a prompt has before an engine has counted them.
//
// It is made for prompts in many languages: the same number of bytes is four
// times as many tokens in one as in another. Harm prevented: an estimate that is
// too low lets an organisation have more than its contract, one that is too high
// refuses a small nursery within its rate while its long answers run. So the
// sure bound is charged until the model's own counts show a lower one.
type estimator struct {
	mu     sync.Mutex
	ratios map[galenastair.ModelName]*ratio
}

// ratio is the highest count of tokens for each byte of a model's prompts.
type ratio struct {
	seen    int
	highest float64
	before  float64
}

func newEstimator() *estimator {
	return &estimator{ratios: map[galenastair.ModelName]*ratio{}}
}

// estimate returns the tokens to charge for a prompt.
func (e *estimator) estimate(m galenastair.ModelName, bytes int) galenastair.Tokens {
	e.mu.Lock()
	defer e.mu.Unlock()
	perByte := 1.0
	if r := e.ratios[m]; r != nil && (r.before > 0 || r.seen >= learnAfter) {
		perByte = min(1, learnMargin*max(r.highest, r.before))
	}
	return galenastair.Tokens(math.Ceil(perByte*float64(bytes))) + templateTokens
}

// leastTokensPerByte is a ratio that no tokenizer is much below.
const leastTokensPerByte = 0.25

// within returns the estimate, lowered to a most where the prompt may well fit
// into it: else a request whose sure bound alone is over the burst would be
// refused for good, and its model's ratio never learnt. What such a request uses
// beyond is owed.
func (e *estimator) within(most galenastair.Tokens, m galenastair.ModelName, bytes int) galenastair.Tokens {
	least := galenastair.Tokens(math.Ceil(leastTokensPerByte*float64(bytes))) + templateTokens
	return min(e.estimate(m, bytes), max(most, least))
}

// observe takes in an engine's own count.
func (e *estimator) observe(m galenastair.ModelName, bytes int, counted galenastair.Tokens) {
	if bytes == 0 || counted == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.ratios[m]
	if r == nil {
		r = &ratio{}
		e.ratios[m] = r
	}
	r.highest = max(r.highest, float64(counted-templateTokens)/float64(bytes))
	r.seen++
	if r.seen == learnWindow {
		*r = ratio{before: r.highest}
	}
}

// debts holds what organisations used beyond what they were charged, until their
// next request pays for it: an estimate that was too low delays tokens, and never
// adds any to the contract.
type debts struct {
	mu   sync.Mutex
	owed map[galenastair.Organisation]galenastair.Tokens
}

func newDebts() *debts {
	return &debts{owed: map[galenastair.Organisation]galenastair.Tokens{}}
}

func (d *debts) add(o galenastair.Organisation, t galenastair.Tokens) {
	if t <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.owed[o] += t
}

// take returns what the next charge has to include, up to a most that keeps the
// request itself within the burst.
func (d *debts) take(o galenastair.Organisation, most galenastair.Tokens) galenastair.Tokens {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := min(d.owed[o], max(most, 0))
	d.owed[o] -= t
	if d.owed[o] == 0 {
		delete(d.owed, o)
	}
	return t
}
