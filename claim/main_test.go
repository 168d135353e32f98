package claim

import (
	"flag"
	"testing"
)

var historyCountFlag = flag.Int("claim.runs", 20, "number of histories to check")

func historyCount() int {
	if testing.Short() {
		return 5
	}
	return *historyCountFlag
}
