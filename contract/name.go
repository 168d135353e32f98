package contract

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"golang.org/x/text/cases"
	"golang.org/x/text/unicode/norm"

	"galenastair"
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
	"ı", "l", "i", "l", "1", "l", "0", "o", "օ", "o", "ѐ", "e", "ё", "e",
)

// Skeleton returns a form that is equal for names that readers take for one another.
func Skeleton(o galenastair.Organisation) string {
	s := norm.NFKC.String(string(o))
	s = cases.Fold().String(s)
	// taken apart, so that a mark on a letter does not hide the letter from the table
	s = norm.NFKD.String(s)
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

func checkOrganisation(o galenastair.Organisation) Problems {
	s := string(o)
	bad := func(c Code, why string) Problems {
		return Problems{{Code: c, Key: keyOrganisation, Message: fmt.Sprintf("Organisation %q %s", s, why), Accepted: acceptedOrg}}
	}
	switch {
	case s == "":
		return bad(NameForm, "is empty")
	case len(s) > maxName:
		return bad(TooLong, "is too long")
	case !utf8.ValidString(s):
		return bad(NotUTF8, "is not UTF-8")
	case !norm.NFC.IsNormalString(s):
		return bad(NameNotNFC, "is not in Unicode NFC")
	case strings.TrimSpace(s) != s || strings.Contains(s, "  "):
		return bad(NameForm, "has spaces at an end or doubled")
	case strings.ContainsFunc(s, notOrganisationRune):
		return bad(NameForm, "has a character that is not accepted")
	case Skeleton(o) == "":
		return bad(NameForm, "has no letter or digit")
	case scripts(s) > 1:
		return bad(NameMixesScript, "mixes letters of alphabets that look alike")
	}
	return nil
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

func checkPlainName[T ~string](name T) Problems {
	if name != "" && len(name) <= maxName && !strings.ContainsFunc(string(name), notPlainRune) {
		return nil
	}
	return Problems{{Code: NameForm, Message: fmt.Sprintf("the name %q is not accepted", string(name)), Accepted: acceptedPlain}}
}

func notPlainRune(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	digit := r >= '0' && r <= '9'
	return !letter && !digit && !strings.ContainsRune("-_.:/@", r)
}
