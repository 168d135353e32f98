package inifile

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrInvalid says that a file breaks a rule; the error's text lists every problem.
var ErrInvalid = eris.New("the file is not valid")

// Code is the stable name of a problem, the same in every language and version.
type Code string

// The codes of problems that every file can have.
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

// Problem is one broken rule: where, what, and which form is accepted.
type Problem struct {
	Code Code
	// Line counts from 1; it is 0 where the text did not come from a file.
	Line     int
	Message  string
	Accepted string
}

// String returns the problem on one line.
func (p Problem) String() string {
	at := ""
	if p.Line > 0 {
		at = fmt.Sprintf("line %d: ", p.Line)
	}
	return fmt.Sprintf("%s%s: %s; accepted: %s", at, p.Code, p.Message, p.Accepted)
}

// Problems is the error that lists every problem of a file.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is(err, ErrInvalid) hold.
func (p Problems) Is(target error) bool { return target == ErrInvalid }

// Err returns nil where there is no problem, so that no empty list becomes an error.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
