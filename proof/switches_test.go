package proof

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A stand-in does not answer the first word that ends an outage, which then lasted to the end of
// the run while the history showed a short one.
func TestFaultEndsAtAStandinThatMissesTheFirstUndo(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	standin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 2 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer standin.Close()
	address := strings.TrimPrefix(standin.URL, "http://")
	is.NoErr(switchFor(address, time.Millisecond, fields{"Outage": "Hang"}, fields{"Outage": ""}))
	is.Equal(calls.Load(), int64(3))
}
