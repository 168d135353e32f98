package inifile

import (
	"gopkg.in/ini.v1"
)

// Section names one section, its keys and those that must be there.
type Section struct {
	Name     string
	Keys     []string
	Required []string
}

// Schema is what a file may hold.
type Schema []Section

// Value is what a key was given, and where.
type Value struct {
	Text string
	Line int
}

// File is a read file; keys that it does not hold have no value.
type File struct {
	values map[place]Value
}

type place struct{ section, key string }

// options switch off every second way of writing a value that the library knows.
var options = ini.LoadOptions{
	IgnoreContinuation:      true,
	IgnoreInlineComment:     true,
	PreserveSurroundedQuote: true,
	KeyValueDelimiters:      "=",
}

// Read reads a text by its schema; its error is a Problems that lists all that is wrong.
func Read(text []byte, schema Schema, maxBytes int) (File, error) {
	lines, problems := scan(text, schema, maxBytes)
	if len(problems) > 0 {
		return File{}, problems
	}
	source, err := ini.LoadSources(options, text)
	if err != nil {
		return File{}, Problems{{Code: NotKeyValue, Message: err.Error(), Accepted: "KEY = VALUE"}}
	}
	f := File{values: make(map[place]Value, len(lines))}
	for at, line := range lines {
		// Value, and not String: the latter would expand %(name)s
		text := source.Section(at.section).Key(at.key).Value()
		f.values[at] = Value{Text: text, Line: line}
	}
	return f, nil
}

// Value returns what a key was given.
func (f File) Value(section, key string) (Value, bool) {
	v, ok := f.values[place{section, key}]
	return v, ok
}
