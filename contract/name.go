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

// lookalikeScripts are the alphabets whose letters are drawn alike; a name that
// mixes two of them reads as another name. Others (Devanagari beside Latin, say)
// mix freely, since no reader takes one for the other.
var lookalikeScripts = []*unicode.RangeTable{unicode.Latin, unicode.Cyrillic, unicode.Greek, unicode.Armenian}

// lookalikes maps letters and digits, after case folding, to the Latin letter that they are drawn like.
var lookalikes = strings.NewReplacer(
	"а", "a", "в", "b", "с", "c", "ԁ", "d", "е", "e", "һ", "h", "і", "l", "ј", "j", "к", "k", "м", "m", "н", "h",
	"о", "o", "р", "p", "ѕ", "s", "т", "t", "у", "y", "х", "x", "ѡ", "w", "ԛ", "q", "ѵ", "v",
	"α", "a", "β", "b", "ε", "e", "η", "n", "ι", "l", "κ", "k", "ν", "v", "ο", "o", "ρ", "p", "τ", "t", "υ", "u", "χ", "x", "ω", "w",
	"ı", "l", "i", "l", "1", "l", "0", "o", "օ", "o",
)

// Skeleton returns a form that is equal for names that readers take for one another.
func Skeleton(o galenastair.Organisation) string {
	// taken apart, so that a mark on a letter does not hide the letter from the table
	s := norm.NFKD.String(string(o))
	s = cases.Fold().String(s)
	s = lookalikes.Replace(s)
	return strings.Map(dropSeparator, s)
}

// dropSeparator leaves out what readers overlook between letters.
func dropSeparator(r rune) rune {
	if r == ' ' || r == '-' || r == '_' || r == '.' || r == '\'' {
		return -1
	}
	return r
}

func checkOrganisation(o galenastair.Organisation) findings {
	code, why := organisationFault(string(o))
	if code == "" {
		return nil
	}
	return findings{found(keyOrganisation, code, fmt.Sprintf("Organisation %q %s", string(o), why), acceptedOrg)}
}

// organisationFault returns the code of the first broken rule, and what breaks it.
func organisationFault(s string) (inifile.Code, string) {
	switch {
	case s == "":
		return NameForm, "is empty"
	case len(s) > maxName:
		return inifile.TooLong, "is too long"
	case !utf8.ValidString(s):
		return inifile.NotUTF8, "is not UTF-8"
	case !norm.NFC.IsNormalString(s):
		return NameNotNFC, "is not in Unicode NFC"
	case strings.TrimSpace(s) != s || strings.Contains(s, "  "):
		return NameForm, "has spaces at an end or doubled"
	case strings.ContainsFunc(s, notOrganisationRune):
		return NameForm, "has a character that is not accepted"
	case Skeleton(galenastair.Organisation(s)) == "":
		return NameForm, "has no letter or digit"
	case scripts(s) > 1:
		return NameMixesScript, "mixes letters of alphabets that look alike"
	}
	return "", ""
}

func notOrganisationRune(r rune) bool {
	return !unicode.In(r, unicode.L, unicode.M, unicode.Nd) && !strings.ContainsRune(" -_.&'()/+", r)
}

func scripts(s string) int {
	n := 0
	for _, table := range lookalikeScripts {
		if strings.ContainsFunc(s, func(r rune) bool { return unicode.Is(table, r) }) {
			n++
		}
	}
	return n
}

func checkPlainName[T ~string](key string, name T) findings {
	if name != "" && len(name) <= maxName && !strings.ContainsFunc(string(name), notPlainRune) {
		return nil
	}
	return findings{found(key, NameForm, fmt.Sprintf("the name %q is not accepted", string(name)), acceptedPlain)}
}

func notPlainRune(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	digit := r >= '0' && r <= '9'
	return !letter && !digit && !strings.ContainsRune("-_.:/@", r)
}
