package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// switchTimeout bounds a word to a stand-in, which may be dead or paused.
const switchTimeout = 2 * time.Second

// A stand-in that was ended is up again, without the fault, well within these tries.
const (
	undoTries = 10
	undoPause = 100 * time.Millisecond
)

var errSwitch = eris.New("the stand-in did not take the switch")

// fields are the switches that a fault sets; those it does not name stay.
type fields map[string]any

// setSwitches changes switches of the stand-in at an address.
func setSwitches(address string, set fields) error {
	body, err := json.Marshal(set)
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
		return eris.Wrapf(errSwitch, "status %d", resp.StatusCode)
	}
	return nil
}

// switchFor sets switches for a while, then the ones that undo them.
func switchFor(address string, d time.Duration, set, undo fields) error {
	if err := setSwitches(address, set); err != nil {
		return err
	}
	time.Sleep(d)
	return undoSwitches(address, undo)
}

// undoSwitches tries again while the stand-in is too busy to answer: a fault would otherwise last
// to the end of the run.
func undoSwitches(address string, undo fields) error {
	var err error
	for range undoTries {
		if err = setSwitches(address, undo); err == nil {
			return nil
		}
		time.Sleep(undoPause)
	}
	return err
}
