package inifile

import (
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// scanner finds the line of each key.
type scanner struct {
	schema   Schema
	section  *Section
	sections map[string]int
	lines    map[place]int
	problems Problems
}

func scan(text []byte, schema Schema, maxBytes int) (map[place]int, Problems) {
	if len(text) > maxBytes {
		return nil, Problems{{Code: TooLong, Message: "the file is too long", Accepted: fmt.Sprintf("at most %d bytes", maxBytes)}}
	}
	if !utf8.Valid(text) || slices.Contains(text, 0) {
		return nil, Problems{{Code: NotUTF8, Message: "the file is not UTF-8 text", Accepted: "UTF-8"}}
	}
	s := scanner{schema: schema, sections: map[string]int{}, lines: map[place]int{}}
	n := 0
	for line := range strings.SplitSeq(string(text), "\n") {
		n++
		s.line(n, strings.Trim(line, " \t\r"))
	}
	s.finish()
	return s.lines, s.problems
}

func (s *scanner) refuse(c Code, line int, accepted, format string, args ...any) {
	s.problems = append(s.problems, Problem{Code: c, Line: line, Message: fmt.Sprintf(format, args...), Accepted: accepted})
}

func (s *scanner) line(n int, line string) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case line[0] == '[':
		s.header(n, line)
	default:
		s.entry(n, line)
	}
}

func (s *scanner) header(n int, line string) {
	name := strings.TrimSuffix(strings.TrimPrefix(line, "["), "]")
	i := slices.IndexFunc(s.schema, func(c Section) bool { return line == "["+c.Name+"]" })
	switch {
	case i < 0:
		s.refuse(SectionUnknown, n, s.schema.accepted(), "the section %q is not known", name)
	case s.sections[name] != 0:
		s.refuse(SectionDoubled, n, "each section once", "the section [%s] stands on line %d already", name, s.sections[name])
	default:
		s.section = &s.schema[i]
		s.sections[name] = n
	}
}

func (s *scanner) entry(n int, line string) {
	key, value, found := strings.Cut(line, "=")
	key = strings.TrimRight(key, " \t")
	// as the library does: a no-break space must not hide a quotation mark
	value = strings.TrimSpace(value)
	switch {
	case !found:
		s.refuse(NotKeyValue, n, "KEY = VALUE", "the line has no =")
	case s.section == nil:
		s.refuse(SectionMissing, n, s.schema.accepted(), "the key %s stands before the first section", key)
	case !slices.Contains(s.section.Keys, key):
		s.refuse(KeyUnknown, n, strings.Join(s.section.Keys, ", "), "the key %q is not known in [%s]", key, s.section.Name)
	case s.lines[place{s.section.Name, key}] != 0:
		s.refuse(KeyDoubled, n, "each key once", "the key %s stands on line %d already", key, s.lines[place{s.section.Name, key}])
	case value != "" && strings.ContainsRune("\"'`", rune(value[0])):
		s.refuse(ValueQuoted, n, "the value without quotation marks", "the value of %s is quoted", key)
	default:
		s.lines[place{s.section.Name, key}] = n
	}
}

func (s *scanner) finish() {
	if len(s.problems) > 0 {
		return
	}
	for _, section := range s.schema {
		for _, key := range section.Required {
			s.require(section, key)
		}
	}
}

func (s *scanner) require(section Section, key string) {
	if s.lines[place{section.Name, key}] != 0 {
		return
	}
	line := s.sections[section.Name]
	s.refuse(KeyMissing, max(line, 1), fmt.Sprintf("%s = VALUE in [%s]", key, section.Name), "the key %s of [%s] is missing", key, section.Name)
}

func (s Schema) accepted() string {
	names := make([]string, len(s))
	for i, section := range s {
		names[i] = "[" + section.Name + "]"
	}
	return strings.Join(names, ", ")
}
