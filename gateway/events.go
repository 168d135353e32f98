package gateway

import "bytes"

// events cuts a stream of server-sent events into whole ones and remembers the last id.
type events struct {
	partial []byte
	// last is the id of the last whole event; it is where a resumed stream goes on.
	last string
}

// mostEvent bounds one event; a stream whose event is longer is passed on uncut.
const mostEvent = 1 << 20

// cut takes in bytes and returns the whole events that they complete.
func (e *events) cut(p []byte) []byte {
	e.partial = append(e.partial, p...)
	end := lastEnd(e.partial)
	if end == 0 {
		if len(e.partial) < mostEvent {
			return nil
		}
		end = len(e.partial)
	}
	whole := bytes.Clone(e.partial[:end])
	e.partial = append(e.partial[:0], e.partial[end:]...)
	e.note(whole)
	return whole
}

// lastEnd returns the offset behind the last blank line.
func lastEnd(p []byte) int {
	end := 0
	if i := bytes.LastIndex(p, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(p, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

func (e *events) note(whole []byte) {
	for line := range bytes.Lines(whole) {
		if id, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:")); ok {
			e.last = string(bytes.TrimSpace(id))
		}
	}
}

// drop forgets an event that was cut: the next run sends it again from its beginning.
func (e *events) drop() { e.partial = e.partial[:0] }

// cutShort says whether an event has begun and not ended.
func (e *events) cutShort() bool { return len(bytes.TrimSpace(e.partial)) > 0 }
