package inifile

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrInvalid is the error of an invalid file; the error's text lists all problems.
var ErrInvalid = eris.New("invalid file")

// Code is the stable identifier of a problem, independent of language and version.
type Code string

// Problem codes that apply to every file.
const (
	NotUTF8        Code = "NotUTF8"
	NotKeyValue    Code = "NotKeyValue"
	TooLong        Code = "TooLong"
	SectionUnknown Code = "SectionUnknown"
	SectionDoubled Code = "SectionDoubled"
	SectionMissing Code = "SectionMissing"
	KeyUnknown     Code = "KeyUnknown"
	KeyDoubled     Code = "KeyDoubled"
	KeyMissing     Code = "KeyMissing"
	ValueQuoted    Code = "ValueQuoted"
	ValueForm      Code = "ValueForm"
)

// Problem is one violated rule, with its line, a message and the accepted form.
type Problem struct {
	Code Code
	// Line is 1-based; it is 0 for a problem of the whole file, or if no file was parsed.
	Line     int
	Message  string
	Accepted string
}

// String formats the problem on one line.
func (p Problem) String() string {
	at := ""
	if p.Line > 0 {
		at = fmt.Sprintf("line %d: ", p.Line)
	}
	return fmt.Sprintf("%s%s: %s; accepted: %s", at, p.Code, p.Message, p.Accepted)
}

// Problems is an error that lists all problems of a file.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (p Problems) Is(target error) bool { return target == ErrInvalid }

// Err returns the problems as an error, or nil if there are none; an empty Problems in an
// error interface would not be nil.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
