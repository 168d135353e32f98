package contract

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"golang.org/x/text/cases"
	"golang.org/x/text/unicode/norm"

	"galenastair"
	"galenastair/inifile"
)

// confusableScripts are scripts with letters that look alike. A name that mixes two of them can
// be mistaken for another name. Other scripts, such as Devanagari and Latin, may be mixed,
// since their letters are not confused.
var confusableScripts = []*unicode.RangeTable{unicode.Latin, unicode.Cyrillic, unicode.Greek, unicode.Armenian}

// confusables maps letters and digits, after case folding, to the Latin letter that they look like.
var confusables = strings.NewReplacer(
	"а", "a", "в", "b", "с", "c", "ԁ", "d", "е", "e", "һ", "h", "і", "l", "ј", "j", "к", "k", "м", "m", "н", "h",
	"о", "o", "р", "p", "ѕ", "s", "т", "t", "у", "y", "х", "x", "ѡ", "w", "ԛ", "q", "ѵ", "v",
	"α", "a", "β", "b", "ε", "e", "η", "n", "ι", "l", "κ", "k", "ν", "v", "ο", "o", "ρ", "p", "τ", "t", "υ", "u", "χ", "x", "ω", "w",
	"ı", "l", "i", "l", "1", "l", "0", "o", "օ", "o",
)

// Skeleton returns a string that is equal for visually confusable names, like the skeleton
// of Unicode Technical Standard 39.
func Skeleton(o galenastair.Organisation) string {
	// decomposed, so that the table also matches letters with combining marks
	s := norm.NFKD.String(string(o))
	s = cases.Fold().String(s)
	s = confusables.Replace(s)
	return strings.Map(dropSeparator, s)
}

// dropSeparator removes separators, which readers overlook.
func dropSeparator(r rune) rune {
	if r == ' ' || r == '-' || r == '_' || r == '.' || r == '\'' {
		return -1
	}
	return r
}

func checkOrganisation(o galenastair.Organisation) keyProblems {
	code, message := organisationProblem(string(o))
	if code == "" {
		return nil
	}
	return keyProblems{newKeyProblem(keyOrganisation, code, fmt.Sprintf("Organisation %q %s", string(o), message), acceptedOrganisation)}
}

// organisationProblem returns the code and the description of the first violated rule.
func organisationProblem(s string) (inifile.Code, string) {
	switch {
	case s == "":
		return NameForm, "is empty"
	case len(s) > maxNameBytes:
		return inifile.TooLong, "is too long"
	case !utf8.ValidString(s):
		return inifile.NotUTF8, "is not UTF-8"
	case !norm.NFC.IsNormalString(s):
		return NameNotNFC, "is not in Unicode NFC"
	case strings.TrimSpace(s) != s || strings.Contains(s, "  "):
		return NameForm, "has leading, trailing or doubled spaces"
	case strings.ContainsFunc(s, invalidOrganisationRune):
		return NameForm, "contains an invalid character"
	case Skeleton(galenastair.Organisation(s)) == "":
		return NameForm, "contains no letter or digit"
	case countConfusableScripts(s) > 1:
		return NameMixesScript, "mixes letters of alphabets that look alike"
	}
	return "", ""
}

func invalidOrganisationRune(r rune) bool {
	return !unicode.In(r, unicode.L, unicode.M, unicode.Nd) && !strings.ContainsRune(" -_.&'()/+", r)
}

func countConfusableScripts(s string) int {
	n := 0
	for _, table := range confusableScripts {
		if strings.ContainsFunc(s, func(r rune) bool { return unicode.Is(table, r) }) {
			n++
		}
	}
	return n
}

func checkASCIIName[T ~string](key string, name T) keyProblems {
	if name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(string(name), invalidASCIINameRune) {
		return nil
	}
	return keyProblems{newKeyProblem(key, NameForm, fmt.Sprintf("invalid name %q", string(name)), acceptedASCIIName)}
}

func invalidASCIINameRune(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	digit := r >= '0' && r <= '9'
	return !letter && !digit && !strings.ContainsRune("-_.:/@", r)
}
