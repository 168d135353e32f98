package explain

import (
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"
)

// Line is one logfmt log line.
type Line struct {
	At       time.Time
	Instance string
	Event    string
	Request  string
	// Fields are the other fields, in the order of the line.
	Fields []Field
}

// Field is one key and its value.
type Field struct {
	Name  string
	Value string
}

// Get returns the value of a field, or the empty string if the line lacks it.
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// String formats the line for display, without fields that are empty or null.
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

// Read parses a log. Records without an event are skipped.
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
		// A line with an invalid timestamp is kept with the zero time, as its event is still useful.
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
