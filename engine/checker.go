package engine

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"

	"galenastair"
)

var doneData = []byte("[DONE]")

// eventValidator detects responses that are mixed up with another request's, or that
// have lost or duplicated events: otherwise the caller would get wrong or missing
// text without an error. Each event must carry the request's ID and the next sequence.
type eventValidator struct {
	id           galenastair.RequestID
	nextSequence int64
	idPrefix     []byte
}

// validate returns the event's chunk, or ErrInvalidResponse.
func (c *eventValidator) validate(ev event) (galenastair.Chunk, error) {
	if ev.id != c.nextSequence {
		return galenastair.Chunk{}, eris.Wrapf(galenastair.ErrInvalidResponse, "event %d where %d was due", ev.id, c.nextSequence)
	}
	c.nextSequence++
	if bytes.Equal(ev.data, doneData) {
		return galenastair.Chunk{Sequence: ev.id, End: true}, nil
	}
	if !c.hasRequestID(ev.data) {
		return galenastair.Chunk{}, eris.Wrap(galenastair.ErrInvalidResponse, "an event of another request")
	}
	return galenastair.Chunk{Sequence: ev.id, Data: ev.data}, nil
}

type eventObject struct {
	ID *string `json:"id"`
}

// hasRequestID reports whether the JSON object in data has the request's ID. Engines
// write the ID first, so that comparing the prefix avoids decoding nearly all events.
func (c *eventValidator) hasRequestID(data []byte) bool {
	if c.idPrefix == nil {
		quoted, err := json.Marshal(string(c.id))
		if err != nil {
			return false
		}
		c.idPrefix = append([]byte(`{"id":`), quoted...)
	}
	if bytes.HasPrefix(data, c.idPrefix) {
		return true
	}
	var got eventObject
	if err := json.Unmarshal(data, &got); err != nil || got.ID == nil {
		return false
	}
	return *got.ID == string(c.id)
}
