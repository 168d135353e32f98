package inifile

import (
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// scanner records the line of each key and the problems of a file.
type scanner struct {
	schema       Schema
	section      *Section
	sectionLines map[string]int
	keyLines     map[keyPath]int
	problems     Problems
}

func scan(text []byte, schema Schema, maxBytes int) (map[keyPath]int, Problems) {
	if len(text) > maxBytes {
		return nil, Problems{{Code: TooLong, Message: "file is too long", Accepted: fmt.Sprintf("at most %d bytes", maxBytes)}}
	}
	if !utf8.Valid(text) || slices.Contains(text, 0) {
		return nil, Problems{{Code: NotUTF8, Message: "file is not UTF-8 text", Accepted: "UTF-8"}}
	}
	s := scanner{schema: schema, sectionLines: map[string]int{}, keyLines: map[keyPath]int{}}
	n := 0
	for line := range strings.SplitSeq(string(text), "\n") {
		n++
		s.scanLine(n, strings.Trim(line, " \t\r"))
	}
	s.checkRequiredKeys()
	return s.keyLines, s.problems
}

func (s *scanner) addProblem(c Code, line int, accepted, format string, args ...any) {
	s.problems = append(s.problems, Problem{Code: c, Line: line, Message: fmt.Sprintf(format, args...), Accepted: accepted})
}

func (s *scanner) scanLine(n int, line string) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case line[0] == '[':
		s.scanHeader(n, line)
	default:
		s.scanEntry(n, line)
	}
}

func (s *scanner) scanHeader(n int, line string) {
	name := strings.TrimSuffix(strings.TrimPrefix(line, "["), "]")
	i := slices.IndexFunc(s.schema, func(c Section) bool { return line == "["+c.Name+"]" })
	switch {
	case i < 0:
		s.addProblem(SectionUnknown, n, s.schema.sectionList(), "unknown section %q", name)
	case s.sectionLines[name] != 0:
		s.addProblem(SectionDoubled, n, "each section once", "section [%s] is already on line %d", name, s.sectionLines[name])
	default:
		s.section = &s.schema[i]
		s.sectionLines[name] = n
	}
}

func (s *scanner) scanEntry(n int, line string) {
	key, value, found := strings.Cut(line, "=")
	key = strings.TrimRight(key, " \t")
	// trim all Unicode spaces, as the library does; otherwise a no-break space would hide a
	// quotation mark
	value = strings.TrimSpace(value)
	switch {
	case !found:
		s.addProblem(NotKeyValue, n, "KEY = VALUE", "line has no =")
	case s.section == nil:
		s.addProblem(SectionMissing, n, s.schema.sectionList(), "key %s is before the first section", key)
	case !slices.Contains(s.section.Keys, key):
		s.addProblem(KeyUnknown, n, strings.Join(s.section.Keys, ", "), "unknown key %q in [%s]", key, s.section.Name)
	case s.keyLines[keyPath{s.section.Name, key}] != 0:
		s.addProblem(KeyDoubled, n, "each key once", "key %s is already on line %d", key, s.keyLines[keyPath{s.section.Name, key}])
	case value != "" && strings.ContainsRune("\"'`", rune(value[0])):
		s.addProblem(ValueQuoted, n, "the value without quotation marks", "value of %s is quoted", key)
	default:
		s.keyLines[keyPath{s.section.Name, key}] = n
	}
}

func (s *scanner) checkRequiredKeys() {
	if len(s.problems) > 0 {
		return
	}
	for _, section := range s.schema {
		for _, key := range section.Required {
			s.checkRequiredKey(section, key)
		}
	}
}

func (s *scanner) checkRequiredKey(section Section, key string) {
	if s.keyLines[keyPath{section.Name, key}] != 0 {
		return
	}
	line := s.sectionLines[section.Name]
	s.addProblem(KeyMissing, max(line, 1), fmt.Sprintf("%s = VALUE in [%s]", key, section.Name), "key %s of [%s] is missing", key, section.Name)
}

func (s Schema) sectionList() string {
	names := make([]string, len(s))
	for i, section := range s {
		names[i] = "[" + section.Name + "]"
	}
	return strings.Join(names, ", ")
}
