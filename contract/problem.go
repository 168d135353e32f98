package contract

import "galenastair/inifile"

// ErrInvalid is the error of an invalid contract or contract file; the error's text lists
// all problems.
var ErrInvalid = inifile.ErrInvalid

// Problem codes of contracts, in addition to those of inifile.
const (
	NumberForm      inifile.Code = "NumberForm"
	NumberRange     inifile.Code = "NumberRange"
	NameForm        inifile.Code = "NameForm"
	NameNotNFC      inifile.Code = "NameNotNFC"
	NameMixesScript inifile.Code = "NameMixesScript"
	KeyHashForm     inifile.Code = "KeyHashForm"
	ListForm        inifile.Code = "ListForm"
	ListDoubled     inifile.Code = "ListDoubled"
	ListEmpty       inifile.Code = "ListEmpty"
)

// keyProblem is a problem of one key.
type keyProblem struct {
	inifile.Problem
	key string
}

func newKeyProblem(key string, c inifile.Code, message, accepted string) keyProblem {
	return keyProblem{inifile.Problem{Code: c, Message: message, Accepted: accepted}, key}
}

type keyProblems []keyProblem

// toError returns the problems as an error, with the line of each problem's key if the file
// contains the key. It returns nil if there are no problems.
func (ps keyProblems) toError(file inifile.File) error {
	var problems inifile.Problems
	for _, p := range ps {
		if v, ok := file.Value(section, p.key); ok {
			p.Line = v.Line
		}
		problems = append(problems, p.Problem)
	}
	return problems.Err()
}
