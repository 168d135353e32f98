package gateway

import "bytes"

// eventSplitter splits a stream of server-sent events at event boundaries and keeps the
// id of the last complete event.
type eventSplitter struct {
	partial []byte
	// lastEventID is the id of the last complete event, after which a stream is resumed.
	lastEventID string
	// forwardedPart is set once an event has been forwarded in parts, and openEvent until the end of such
	// an event.
	forwardedPart, openEvent bool
	// limit bounds the buffering of one event; 0 is maxEventBytes.
	limit int
}

// maxEventBytes bounds the buffering of one event. A longer one is forwarded in parts.
const maxEventBytes = 128 << 10

// maxBlankLine is the length of the longest end of an event less one byte.
const maxBlankLine = len("\r\n\r\n") - 1

// split appends p to the buffer, and removes and returns the complete events.
func (e *eventSplitter) split(p []byte) []byte {
	// what was buffered before ends no event, but may hold the start of a blank line
	searchFrom := max(0, len(e.partial)-maxBlankLine)
	e.partial = append(e.partial, p...)
	end := lastEventEnd(e.partial[searchFrom:])
	switch {
	case end > 0:
		end += searchFrom
		e.openEvent = false
	case len(e.partial) < e.maxBytes():
		return nil
	default:
		// line ends stay, as they may be the start of a blank line
		end = max(len(bytes.TrimRight(e.partial, "\r\n")), len(e.partial)-maxBlankLine)
		e.forwardedPart, e.openEvent = true, true
	}
	complete := bytes.Clone(e.partial[:end])
	e.partial = append(e.partial[:0], e.partial[end:]...)
	e.recordLastID(complete)
	return complete
}

func (e *eventSplitter) maxBytes() int {
	if e.limit > 0 {
		return e.limit
	}
	return maxEventBytes
}

// lastEventEnd returns the offset after the last blank line, 0 if there is none.
func lastEventEnd(p []byte) int {
	end := 0
	if i := bytes.LastIndex(p, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(p, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

func (e *eventSplitter) recordLastID(complete []byte) {
	for line := range bytes.Lines(complete) {
		if id, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:")); ok {
			e.lastEventID = string(bytes.TrimSpace(id))
		}
	}
}

// resumable reports whether another backend server can continue after what has been forwarded. It
// would send an event again that has no id, or that was forwarded in part.
func (e *eventSplitter) resumable() bool { return e.lastEventID != "" && !e.forwardedPart }

// rewind drops what follows the event with an id.
func (e *eventSplitter) rewind(id string) {
	e.lastEventID = id
	e.discardPartial()
}

// discardPartial discards an incomplete event; a resumed stream repeats it from its start.
func (e *eventSplitter) discardPartial() { e.partial = e.partial[:0] }

// insideEvent reports whether an event has begun and not ended.
func (e *eventSplitter) insideEvent() bool {
	return e.openEvent || len(bytes.TrimSpace(e.partial)) > 0
}
