package contract

import (
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// scan finds the line of each key, and refuses what the INI library would let
// pass or merge: doubled keys and sections, unknown ones, quotes, other encodings.
func scan(text []byte) (map[string]int, Problems) {
	if len(text) > maxFile {
		return nil, Problems{{Code: TooLong, Message: "the file is too long", Accepted: "at most 2097152 bytes"}}
	}
	if !utf8.Valid(text) || strings.ContainsRune(string(text), 0) {
		return nil, Problems{{Code: NotUTF8, Message: "the file is not UTF-8 text", Accepted: "UTF-8"}}
	}
	s := scanner{lines: make(map[string]int)}
	n := 0
	for line := range strings.SplitSeq(string(text), "\n") {
		n++
		s.line(n, strings.Trim(line, " \t\r"))
	}
	s.finish()
	return s.lines, s.problems
}

type scanner struct {
	lines    map[string]int
	section  int
	problems Problems
}

func (s *scanner) refuse(c Code, line int, accepted, format string, args ...any) {
	s.problems = append(s.problems, Problem{Code: c, Line: line, Message: fmt.Sprintf(format, args...), Accepted: accepted})
}

func (s *scanner) line(n int, line string) {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case line == "["+section+"]" && s.section == 0:
		s.section = n
	case line == "["+section+"]":
		s.refuse(SectionDoubled, n, "one section [Contract]", "the section stands on line %d already", s.section)
	case line[0] == '[':
		s.refuse(SectionUnknown, n, "[Contract]", "the section %q is not known", line)
	default:
		s.entry(n, line)
	}
}

func (s *scanner) entry(n int, line string) {
	key, value, found := strings.Cut(line, "=")
	key = strings.TrimRight(key, " \t")
	value = strings.TrimLeft(value, " \t")
	switch {
	case !found:
		s.refuse(NotKeyValue, n, acceptedLine, "the line has no =")
	case !slices.Contains(fileKeys, key):
		s.refuse(KeyUnknown, n, acceptedLine, "the key %q is not known", key)
	case s.section == 0:
		s.refuse(SectionMissing, n, "[Contract] before the first key", "the key %s stands before the section", key)
	case s.lines[key] != 0:
		s.refuse(KeyDoubled, n, "each key once", "the key %s stands on line %d already", key, s.lines[key])
	case value != "" && strings.ContainsRune("\"'`", rune(value[0])):
		s.refuse(ValueQuoted, n, "the value without quotation marks", "the value of %s is quoted", key)
	default:
		s.lines[key] = n
	}
}

func (s *scanner) finish() {
	if s.section == 0 {
		s.refuse(SectionMissing, 1, "[Contract]", "there is no section")
	}
	for _, key := range requiredKeys {
		if s.lines[key] == 0 && len(s.problems) == 0 {
			s.refuse(KeyMissing, s.section, acceptedLine, "the key %s is missing", key)
		}
	}
}
