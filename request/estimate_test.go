package request

import (
	"testing"

	"github.com/matryer/is"

	"galenastair"
)

func TestEstimateStartsAtUpperBoundAndAdapts(t *testing.T) {
	is := is.New(t)
	e := newEstimator()
	is.Equal(e.estimate("m", 1000), galenastair.Tokens(1000+chatTemplateTokens))
	for range minSamples {
		e.observe("m", 1000, 216) // English: 0.2 tokens per byte
	}
	is.Equal(e.estimate("m", 1000), galenastair.Tokens(250+chatTemplateTokens))
	e.observe("m", 1000, 816) // a prompt in Nepali: 0.8 tokens per byte
	is.Equal(e.estimate("m", 1000), galenastair.Tokens(1000+chatTemplateTokens))
	// A prompt that may fit into the burst must not be refused because of its upper bound.
	is.Equal(e.estimateWithin(500, "new", 1000), galenastair.Tokens(500))
	is.Equal(e.estimateWithin(100, "new", 1000), galenastair.Tokens(250+chatTemplateTokens))
	is.Equal(e.estimate("other", 8), galenastair.Tokens(8+chatTemplateTokens))
	for range 2 * windowSamples {
		e.observe("m", 1000, 216)
	}
	is.Equal(e.estimate("m", 1000), galenastair.Tokens(250+chatTemplateTokens)) // the maximum has left the window
}

func TestDebtIsPaidOnce(t *testing.T) {
	is := is.New(t)
	d := newDebts()
	d.add("Furnir", 30)
	is.Equal(d.take("Furnir", 20), galenastair.Tokens(20))
	is.Equal(d.take("Furnir", 20), galenastair.Tokens(10))
	is.Equal(d.take("Furnir", 20), galenastair.Tokens(0))
}
