package account_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/account/play"
)

var contract = play.Contract{Rate: 33_000, Burst: 33_000}

// An organisation overloads many instances while owners and leaders are partitioned, killed and
// restarted. It must not get more than its contract in any window. FLOODS sets the number of
// seeds.
func TestNoWindowIsOverTheContract(t *testing.T) {
	floods := uint64(300)
	if s := os.Getenv("FLOODS"); s != "" {
		floods, _ = strconv.ParseUint(s, 10, 64)
	}
	for seed := range floods {
		f := play.New(seed, 40, contract)
		f.Settle()
		for range 3000 {
			f.Step()
			x := f.RandomInstance()
			if owner := f.Owner(x); owner != nil && f.Rand.IntN(2) == 0 {
				x = owner
			}
			disturb(f, x)
			for range 3 {
				f.Charge(f.RandomInstance(), 1000+3000*f.Rand.Float64())
			}
			// callers of a partitioned instance keep using it
			for range 2 {
				f.Charge(x, 3000)
			}
		}
		if got, most := f.MaxInWindow(), contract.Bound(); got > most {
			t.Fatalf("seed %d: %.0f in a window, at most %.0f", seed, got, most)
		}
	}
}

func disturb(f *play.Fleet, x *play.Instance) {
	switch f.Rand.IntN(150) {
	case 0:
		f.Partition(x, f.RandomDuration(9*time.Second))
	case 1:
		f.Restart(x, f.RandomDuration(3*time.Second))
	case 2:
		f.ReplaceLeader()
	case 3, 4:
		f.Stop(x)
	}
}

// runScenario runs a scenario with 300 instances.
func runScenario(t *testing.T, name string) play.Result {
	t.Helper()
	for _, s := range play.Scenarios() {
		if s.Name == name {
			o := play.RunScenario(s, 1, 300, contract)
			t.Logf("%s: %+v", name, o)
			return o
		}
	}
	t.Fatal("no such scenario: " + name)
	return play.Result{}
}

// Requests of an organisation that uses half of its rate must be admitted in a fleet of hundreds
// of instances, in which each instance's fraction of the quota pays for no request.
func TestSteadyDemandIsAdmitted(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"steady", "skewed"} {
		is.True(runScenario(t, name).Admitted >= 0.97)
	}
}

// The leader is lost. Owners must go on charging meanwhile, or the quotas of all organisations would
// be lost with it.
func TestLossOfTheLeaderCostsNothing(t *testing.T) {
	is := is.New(t)
	is.True(runScenario(t, "leader lost").AfterFault >= 0.9)
}

// An organisation's owner, or half of all instances, are lost for good. Requests may be refused
// only until there is another owner.
func TestLossOfOwnersCostsSeconds(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"owner lost", "owner cut off", "half lost"} {
		is.True(runScenario(t, name).Admitted >= 0.75)
	}
}

// All processes are killed at once. Requests must be admitted again within some seconds.
func TestRestartOfAll(t *testing.T) {
	is := is.New(t)
	is.True(runScenario(t, "all restarted").Admitted >= 0.5)
}
