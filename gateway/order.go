package gateway

import (
	"bytes"
	"strconv"
)

// eventOrder checks that the ids of a stream's events increase, also from one backend server to the next. Ids
// that are not numbers are not compared.
type eventOrder struct {
	last   uint64
	lastID string
	known  bool
}

// startAfter sets the id of the last event that the caller has.
func (o *eventOrder) startAfter(id string) {
	n, err := strconv.ParseUint(id, 10, 64)
	o.last, o.lastID, o.known = n, id, err == nil
}

// inOrder returns the length of the events before the first one whose id does not follow the one before.
func (o *eventOrder) inOrder(events []byte) int {
	start, offset := 0, 0
	next := *o
	for line := range bytes.Lines(events) {
		offset += len(line)
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			start, *o = offset, next
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id := string(bytes.TrimSpace(value))
		n, err := strconv.ParseUint(id, 10, 64)
		if err == nil && o.known && n <= o.last {
			return start
		}
		next = eventOrder{last: n, lastID: id, known: err == nil}
	}
	*o = next
	return len(events)
}
