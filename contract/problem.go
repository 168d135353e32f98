package contract

import "galenastair/inifile"

// ErrInvalid says that a contract or its file breaks a rule; the error's text lists every problem.
var ErrInvalid = inifile.ErrInvalid

// The codes of problems that contracts have beside those of every file.
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

// finding is a problem and the key that it is about.
type finding struct {
	inifile.Problem
	key string
}

func found(key string, c inifile.Code, message, accepted string) finding {
	return finding{inifile.Problem{Code: c, Message: message, Accepted: accepted}, key}
}

type findings []finding

// at returns the problems with the line of each one's key; without a file there are none.
func (f findings) at(file inifile.File) error {
	var ps inifile.Problems
	for _, one := range f {
		if v, ok := file.Value(section, one.key); ok {
			one.Line = v.Line
		}
		ps = append(ps, one.Problem)
	}
	return ps.Err()
}
