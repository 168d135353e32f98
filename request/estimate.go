package request

import (
	"math"
	"sync"

	"galenastair"
)

const (
	// chatTemplateTokens covers the chat template that an engine adds to a prompt.
	chatTemplateTokens = 16
	// minSamples is the number of responses of a model that are needed before
	// their ratio replaces the upper bound of one token per byte.
	minSamples = 20
	// windowSamples is the number of responses in an observation window. Only the
	// current and the previous window are used, so that the estimate follows a
	// change of language.
	windowSamples = 500
	// ratioMargin multiplies the highest ratio observed.
	ratioMargin = 1.25
)

// estimator estimates the number of tokens in a prompt before an engine counts them.
//
// The number of tokens per byte differs by a factor of four between languages. An
// estimate that is too low lets an organisation use more than its contract. One
// that is too high refuses requests of a small organisation that is within its
// rate. The upper bound of one token per byte is therefore charged until the
// engines' counts for the model show a lower ratio.
type estimator struct {
	mu     sync.Mutex
	ratios map[galenastair.ModelName]*tokenRatio
}

// tokenRatio is the maximum number of tokens per byte in the prompts of a model.
type tokenRatio struct {
	samples     int
	max         float64
	previousMax float64
}

func newEstimator() *estimator {
	return &estimator{ratios: map[galenastair.ModelName]*tokenRatio{}}
}

// estimate returns the number of tokens to charge for a prompt.
func (e *estimator) estimate(m galenastair.ModelName, bytes int) galenastair.Tokens {
	e.mu.Lock()
	defer e.mu.Unlock()
	perByte := 1.0
	if r := e.ratios[m]; r != nil && (r.previousMax > 0 || r.samples >= minSamples) {
		perByte = min(1, ratioMargin*max(r.max, r.previousMax))
	}
	return galenastair.Tokens(math.Ceil(perByte*float64(bytes))) + chatTemplateTokens
}

// minTokensPerByte is a ratio that hardly any tokenizer goes below.
const minTokensPerByte = 0.25

// estimateWithin returns the estimate, lowered to limit if the prompt may fit into
// limit. Without this, a request whose upper bound alone exceeds the burst would
// always be refused, and the ratio of its model would never be observed. Tokens
// that such a request uses beyond the estimate become a debt.
func (e *estimator) estimateWithin(limit galenastair.Tokens, m galenastair.ModelName, bytes int) galenastair.Tokens {
	minimum := galenastair.Tokens(math.Ceil(minTokensPerByte*float64(bytes))) + chatTemplateTokens
	return min(e.estimate(m, bytes), max(limit, minimum))
}

// observe updates the ratio of a model with an engine's token count.
func (e *estimator) observe(m galenastair.ModelName, bytes int, counted galenastair.Tokens) {
	if bytes == 0 || counted == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.ratios[m]
	if r == nil {
		r = &tokenRatio{}
		e.ratios[m] = r
	}
	r.max = max(r.max, float64(counted-chatTemplateTokens)/float64(bytes))
	r.samples++
	if r.samples == windowSamples {
		*r = tokenRatio{previousMax: r.max}
	}
}

// debts holds the tokens that organisations used beyond their charges. The debt is
// added to the charge of the organisation's next request, so that an estimate that
// was too low does not let it use more than its contract.
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

// take removes up to limit tokens of an organisation's debt and returns them. The
// limit keeps the charge that includes them within the burst.
func (d *debts) take(o galenastair.Organisation, limit galenastair.Tokens) galenastair.Tokens {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := min(d.owed[o], max(limit, 0))
	d.owed[o] -= t
	if d.owed[o] == 0 {
		delete(d.owed, o)
	}
	return t
}
