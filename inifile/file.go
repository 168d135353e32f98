package inifile

import (
	"gopkg.in/ini.v1"
)

// Section is the schema of one section: its name, keys and required keys.
type Section struct {
	Name     string
	Keys     []string
	Required []string
}

// Schema lists the sections that a file may contain.
type Schema []Section

// Value is the value of a key and the line that it is on.
type Value struct {
	Text string
	Line int
}

// File is a parsed file.
type File struct {
	values map[keyPath]Value
}

type keyPath struct{ section, key string }

// iniOptions disable the library's alternative notations for values.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:      true,
	IgnoreInlineComment:     true,
	PreserveSurroundedQuote: true,
	KeyValueDelimiters:      "=",
}

// Parse parses a text according to a schema. Its error is a Problems that lists all problems.
func Parse(text []byte, schema Schema, maxBytes int) (File, error) {
	lines, problems := scan(text, schema, maxBytes)
	if len(problems) > 0 {
		return File{}, problems
	}
	source, err := ini.LoadSources(iniOptions, text)
	if err != nil {
		return File{}, Problems{{Code: NotKeyValue, Message: err.Error(), Accepted: "KEY = VALUE"}}
	}
	f := File{values: make(map[keyPath]Value, len(lines))}
	for at, line := range lines {
		// Value does not expand %(name)s, unlike String
		text := source.Section(at.section).Key(at.key).Value()
		f.values[at] = Value{Text: text, Line: line}
	}
	return f, nil
}

// Value returns the value of a key; it returns false if the file does not contain the key.
func (f File) Value(section, key string) (Value, bool) {
	v, ok := f.values[keyPath{section, key}]
	return v, ok
}
