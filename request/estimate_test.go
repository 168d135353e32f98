package request

import (
	"testing"

	"github.com/matryer/is"

	"galenastair"
)

func TestEstimateStartsSureAndLearns(t *testing.T) {
	is := is.New(t)
	e := newEstimator()
	is.Equal(e.estimate("m", 1000), galenastair.Tokens(1000+templateTokens))
	for range learnAfter {
		e.observe("m", 1000, 216) // English: a fifth of a token for each byte
	}
	is.Equal(e.estimate("m", 1000), galenastair.Tokens(250+templateTokens))
	e.observe("m", 1000, 816) // one prompt in Nepali
	is.Equal(e.estimate("m", 1000), galenastair.Tokens(1000+templateTokens))
	// a prompt that may fit the burst is not refused for its bound alone
	is.Equal(e.within(500, "new", 1000), galenastair.Tokens(500))
	is.Equal(e.within(100, "new", 1000), galenastair.Tokens(250+templateTokens))
	is.Equal(e.estimate("other", 8), galenastair.Tokens(8+templateTokens))
	for range 2 * learnWindow {
		e.observe("m", 1000, 216)
	}
	is.Equal(e.estimate("m", 1000), galenastair.Tokens(250+templateTokens)) // the peak is forgotten
}

func TestDebtIsPaidOnce(t *testing.T) {
	is := is.New(t)
	d := newDebts()
	d.add("Furnir", 30)
	is.Equal(d.take("Furnir", 20), galenastair.Tokens(20))
	is.Equal(d.take("Furnir", 20), galenastair.Tokens(10))
	is.Equal(d.take("Furnir", 20), galenastair.Tokens(0))
}
