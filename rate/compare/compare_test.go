package compare

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/rate"
)

// The ranking that the product's choice rests on; docs say no more than this.
func TestHoldersWithLoansRefuseLeast(t *testing.T) {
	is := is.New(t)
	results := Run(1)
	refused := make(map[string]int)
	for _, ways := range results {
		for name, r := range ways {
			is.NoErr(r.Over)
			refused[name] += r.Refused
		}
		is.True(ways[ours].Without < 3*time.Second)
		is.True(ways[ours].Refused < ways["equal split"].Refused)
	}
	for _, name := range []string{"equal split", "one home", "a quarter static, rest lent", "half static, rest lent"} {
		is.True(refused[ours] < refused[name])
	}
	is.True(results["dead holder, log down"]["one home"].Without > 20*time.Second)
	is.Equal(results["even traffic"][ours].Refused, 0)
	is.Equal(results["one hot entry"][ours].Refused, 0)
}

func TestSameSeedGivesSameResult(t *testing.T) {
	is := is.New(t)
	build := candidates()[3].build
	for _, s := range scenarios()[1:3] {
		is.Equal(run(s, 2, instances, build), run(s, 2, instances, build))
	}
}

func TestLoansSaveMessagesAtTargetSize(t *testing.T) {
	is := is.New(t)
	each, _, _ := region(1, 4*time.Second, rate.WithoutAdvances())
	lent, refused, _ := region(1, 4*time.Second)
	is.Equal(refused, 0)
	is.True(lent.messages*10 < each.messages*9)
}
