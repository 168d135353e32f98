package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// readBuffer holds dozens of token events.
	readBuffer = 4 << 10
	// maxEvent bounds the memory that one event can take.
	maxEvent = 1 << 20
)

var (
	errEventTooLarge = eris.New("an event is larger than the limit")
	errEventID       = eris.New("an event has no readable id")
)

// event is one server-sent event.
type event struct {
	id   int64
	data []byte
}

// eventReader splits a body into server-sent events.
type eventReader struct {
	r       *bufio.Reader
	waiting func()
	long    []byte
}

// buffers are used again: at 10,000 short requests/s new ones would be 40 MB/s
// of garbage on an instance that has 64 MB.
var buffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

// newEventReader calls waiting before each read that may block.
func newEventReader(r io.Reader, waiting func()) *eventReader {
	buf := buffers.Get().(*bufio.Reader)
	buf.Reset(r)
	return &eventReader{r: buf, waiting: waiting}
}

// release gives the buffer back; the reader must not be used any more.
func (e *eventReader) release() {
	e.r.Reset(nil)
	buffers.Put(e.r)
	e.r = nil
}

// next returns the next event with data; an event that the end of the body cuts is none.
func (e *eventReader) next() (event, error) {
	ev := event{id: -1}
	for {
		line, err := e.line()
		if err != nil {
			return event{}, err
		}
		if len(line) == 0 {
			if ev.data != nil {
				return ev, nil
			}
			continue
		}
		if err := ev.add(line); err != nil {
			return event{}, err
		}
	}
}

var (
	dataField = []byte("data:")
	idField   = []byte("id:")
)

func (ev *event) add(line []byte) error {
	if value, ok := bytes.CutPrefix(line, dataField); ok {
		if len(ev.data)+len(value) > maxEvent {
			return errEventTooLarge
		}
		if ev.data != nil {
			ev.data = append(ev.data, '\n')
		}
		ev.data = append(ev.data, bytes.TrimPrefix(value, []byte(" "))...)
		if ev.data == nil {
			ev.data = []byte{}
		}
		return nil
	}
	if value, ok := bytes.CutPrefix(line, idField); ok {
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return errEventID
		}
		ev.id = id
	}
	return nil
}

// line returns the next line without its end; it is valid until the next call.
func (e *eventReader) line() ([]byte, error) {
	e.long = e.long[:0]
	for {
		if e.r.Buffered() == 0 {
			e.waiting()
		}
		part, err := e.r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(e.long)+len(part) > maxEvent {
				return nil, errEventTooLarge
			}
			e.long = append(e.long, part...)
			continue
		}
		if err != nil {
			return nil, err
		}
		if len(e.long) > 0 {
			part = append(e.long, part...)
		}
		return bytes.TrimRight(part, "\r\n"), nil
	}
}
