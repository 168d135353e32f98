package explain

import (
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"
)

// Line is one log line.
type Line struct {
	At       time.Time
	Instance string
	Event    string
	Request  string
	// Fields are all others, in the order in which they stand.
	Fields []Field
}

// Field is one name and its value.
type Field struct {
	Name  string
	Value string
}

// Get returns a field's value; empty if it has none.
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// String shows the line for people.
func (l Line) String() string {
	var b strings.Builder
	b.WriteString(l.At.Format("15:04:05.000000") + "  " + l.Instance + "  " + l.Event)
	for _, f := range l.Fields {
		if f.Value != "" && f.Value != "null" {
			b.WriteString("  " + f.Name + "=" + f.Value)
		}
	}
	return b.String()
}

// Read reads a log; what is no line of it is passed over.
func Read(r io.Reader) ([]Line, error) {
	d := logfmt.NewDecoder(r)
	var out []Line
	for d.ScanRecord() {
		var l Line
		for d.ScanKeyval() {
			l.set(string(d.Key()), string(d.Value()))
		}
		if l.Event != "" {
			out = append(out, l)
		}
	}
	return out, eris.Wrap(d.Err(), "log")
}

func (l *Line) set(name, value string) {
	switch name {
	case "ts":
		// a line without a readable time still tells its event
		l.At, _ = time.Parse(time.RFC3339Nano, value)
	case "instance":
		l.Instance = value
	case "event":
		l.Event = value
	case "request":
		l.Request = value
	default:
		l.Fields = append(l.Fields, Field{name, value})
	}
}
