package compare

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/rate"
)

// The documentation relies on the ranking of the strategies that this test checks, and
// on nothing more.
func TestHoldersWithLoansRefuseLeast(t *testing.T) {
	is := is.New(t)
	results := Run(1)
	refused := make(map[string]int)
	for _, byStrategy := range results {
		for name, r := range byStrategy {
			is.NoErr(r.Violation)
			refused[name] += r.Refused
		}
		is.True(byStrategy[productStrategy].LongestOutage < 3*time.Second)
		is.True(byStrategy[productStrategy].Refused < byStrategy["equal split"].Refused)
	}
	for _, name := range []string{"equal split", "one home", "a quarter static, rest lent", "half static, rest lent"} {
		is.True(refused[productStrategy] < refused[name])
	}
	is.True(results["dead holder, log down"]["one home"].LongestOutage > 20*time.Second)
	is.Equal(results["even traffic"][productStrategy].Refused, 0)
	is.Equal(results["one hot entry"][productStrategy].Refused, 0)
}

func TestSameSeedGivesSameResult(t *testing.T) {
	is := is.New(t)
	build := candidates()[3].build
	for _, s := range scenarios()[1:3] {
		is.Equal(simulate(s, 2, instances, build), simulate(s, 2, instances, build))
	}
}

func TestLoansSaveMessagesAtTargetSize(t *testing.T) {
	is := is.New(t)
	each, _, _ := simulateRegion(1, 4*time.Second, rate.WithoutPrefetch())
	lent, refused, _ := simulateRegion(1, 4*time.Second)
	is.Equal(refused, 0)
	is.True(lent.messages*10 < each.messages*9)
}
