package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// switchTimeout limits a request to a stand-in, which may be dead or paused.
const switchTimeout = 2 * time.Second

// A stand-in that was killed has been restarted, without the fault, well before the last attempt.
const (
	resetAttempts   = 10
	resetRetryDelay = 100 * time.Millisecond
)

var errSwitchRejected = eris.New("the stand-in did not take the switch")

// switchValues has new values of switches by name; other switches keep theirs.
type switchValues map[string]any

// setSwitches sets switches of the stand-in at an address.
func setSwitches(address string, values switchValues) error {
	body, err := json.Marshal(values)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), switchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/switches", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Wrapf(errSwitchRejected, "status %d", resp.StatusCode)
	}
	return nil
}

// setSwitchesFor sets switches, waits for d and sets them back to the values in reset.
func setSwitchesFor(address string, d time.Duration, set, reset switchValues) error {
	if err := setSwitches(address, set); err != nil {
		return err
	}
	time.Sleep(d)
	return resetSwitches(address, reset)
}

// resetSwitches retries while the stand-in is too busy to answer. Without it, the fault
// would last until the end of the run.
func resetSwitches(address string, reset switchValues) error {
	var err error
	for range resetAttempts {
		if err = setSwitches(address, reset); err == nil {
			return nil
		}
		time.Sleep(resetRetryDelay)
	}
	return err
}
