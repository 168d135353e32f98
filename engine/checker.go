package engine

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"

	"galenastair"
)

var endMark = []byte("[DONE]")

// checker guards against an answer that is crossed with another, or that lost or
// doubled events on its way: its caller would read foreign or missing words with
// no sign of it. Each event must carry the request's own id and the next sequence.
type checker struct {
	id   galenastair.RequestID
	next int64
	want []byte
}

// check returns the chunk that an event holds.
func (c *checker) check(ev event) (galenastair.Chunk, error) {
	if ev.id != c.next {
		return galenastair.Chunk{}, eris.Wrapf(galenastair.ErrCrossed, "event %d where %d was due", ev.id, c.next)
	}
	c.next++
	if bytes.Equal(ev.data, endMark) {
		return galenastair.Chunk{Sequence: ev.id, End: true}, nil
	}
	if !c.owns(ev.data) {
		return galenastair.Chunk{}, eris.Wrap(galenastair.ErrCrossed, "an event of another request")
	}
	return galenastair.Chunk{Sequence: ev.id, Data: ev.data}, nil
}

type identified struct {
	ID *string `json:"id"`
}

// owns says whether the object in data has the request's id. Engines write the
// id first, so that comparing bytes does for nearly all events.
func (c *checker) owns(data []byte) bool {
	if c.want == nil {
		quoted, err := json.Marshal(string(c.id))
		if err != nil {
			return false
		}
		c.want = append([]byte(`{"id":`), quoted...)
	}
	if bytes.HasPrefix(data, c.want) {
		return true
	}
	var got identified
	if err := json.Unmarshal(data, &got); err != nil || got.ID == nil {
		return false
	}
	return *got.ID == string(c.id)
}
