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

// Guards against an outage that lasts until the end of the run while the history shows a
// short one. That happens if the stand-in does not answer the first request that ends the
// outage and the driver does not repeat it.
func TestSwitchResetIsRetried(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	standin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 2 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer standin.Close()
	address := strings.TrimPrefix(standin.URL, "http://")
	is.NoErr(setSwitchesFor(address, time.Millisecond, switchValues{"Outage": "Hang"}, switchValues{"Outage": ""}))
	is.Equal(calls.Load(), int64(3))
}
