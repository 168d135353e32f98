package contract

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/text/unicode/norm"

	"galenastair"
	"galenastair/inifile"
)

const validContract = `# Himalbyte, nursery 12
[Contract]
Organisation = शिशु घर 12
RateTokensPerSecond = 2000
BurstTokens = 8000
Models = diary, diary-ne
Services = notices
KeyHashes = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
`

func TestParse(t *testing.T) {
	is := is.New(t)
	c, err := Parse([]byte(validContract))
	is.NoErr(err)
	is.Equal(c.Organisation, galenastair.Organisation("शिशु घर 12"))
	is.Equal(c.Rate, galenastair.TokensPerSecond(2000))
	is.Equal(c.Burst, galenastair.Tokens(8000))
	is.True(c.PermitsModel("diary-ne") && !c.PermitsModel("dia"))
	is.True(c.PermitsService("notices") && !c.PermitsService("diary"))
	is.Equal(c.KeyHashes, []galenastair.KeyHash{galenastair.HashKey("test")})
	windows, err := Parse([]byte(strings.ReplaceAll(validContract, "\n", "\r\n")))
	is.NoErr(err)
	is.Equal(windows.Canonical(), c.Canonical())
	otherOrder, err := Parse([]byte(strings.Replace(validContract, "diary, diary-ne", "diary-ne, diary", 1)))
	is.NoErr(err)
	is.Equal(otherOrder, c)
}

// Each case is a notation that operators with different locales read differently, or a
// mistake in the file. Fails if any check of parse.go, validate.go or name.go is removed.
func TestParseRefuses(t *testing.T) {
	tests := []struct {
		old, new string
		code     inifile.Code
		line     int
	}{
		{"2000", "2,000", NumberForm, 4},
		{"2000", "2.000", NumberForm, 4},
		{"2000", "2 000", NumberForm, 4},
		{"2000", "2e3", NumberForm, 4},
		{"2000", "२०००", NumberForm, 4},
		{"2000", "02000", NumberForm, 4},
		{"2000", "+2000", NumberForm, 4},
		{"2000", "0", NumberForm, 4},
		{"2000", "99999999999999", NumberForm, 4},
		{"2000", "", NumberForm, 4},
		{"2000", `"2000"`, inifile.ValueQuoted, 4},
		{"2000", "`2000", inifile.ValueQuoted, 4},
		{"BurstTokens", "Burst", inifile.KeyUnknown, 5},
		{"BurstTokens", "bursttokens", inifile.KeyUnknown, 5},
		{"BurstTokens = 8000", "", inifile.KeyMissing, 2},
		{"BurstTokens = 8000", "BurstTokens = 8000\nBurstTokens = 9000", inifile.KeyDoubled, 6},
		{"BurstTokens = 8000", "BurstTokens: 8000", inifile.NotKeyValue, 5},
		{"BurstTokens = 8000", "[Contract]\nBurstTokens = 8000", inifile.SectionDoubled, 5},
		{"[Contract]", "[Kontrakt]", inifile.SectionUnknown, 2},
		{"[Contract]", "", inifile.SectionMissing, 3},
		{"Models = diary, diary-ne\nServices = notices", "Models =", ListEmpty, 6},
		{"diary,", "diary,,", ListForm, 6},
		{"diary,", "diary-ne,", ListDoubled, 6},
		{"diary,", "diary;x,", NameForm, 6},
		{"9f86", "9F86", KeyHashForm, 8},
		{"9f86", "", KeyHashForm, 8},
		{"शिशु घर 12", "Mаcbeth", NameMixesScript, 3}, // the second letter is Cyrillic
		{"शिशु घर 12", norm.NFD.String("Grădiniță"), NameNotNFC, 3},
		{"शिशु घर 12", "a\u200bb", NameForm, 3},
		{"शिशु घर 12", "a  b", NameForm, 3},
		{"शिशु घर 12", "\xff", inifile.NotUTF8, 0},
	}
	for _, tt := range tests {
		t.Run(tt.new, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(strings.Replace(validContract, tt.old, tt.new, 1)))
			is.True(errors.Is(err, ErrInvalid))
			var ps inifile.Problems
			is.True(errors.As(err, &ps))
			is.Equal(ps[0].Code, tt.code)
			is.Equal(ps[0].Line, tt.line)
			is.True(ps[0].Accepted != "")
		})
	}
}

func TestParseListsEveryProblem(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte("[Contract]\nRate = 1\nBurst = 2\nModels = \"a\""))
	var ps inifile.Problems
	is.True(errors.As(err, &ps))
	is.Equal(len(ps), 3)
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	c, err := Parse([]byte(validContract))
	is.NoErr(err)
	d := c.Clone()
	d.Rate = 3000
	d.Models[0] = "weekly"
	is.True(c.PermitsModel("diary")) // the clone is a deep copy
	is.Equal(Diff(c, c), "")
	is.Equal(Diff(c, d), "- RateTokensPerSecond = 2000\n+ RateTokensPerSecond = 3000\n- Models: diary\n+ Models: weekly\n")
	is.True(strings.HasPrefix(Diff(Contract{}, c), "+ Organisation"))
}

// Fails if any step of Skeleton is left out.
func TestSkeleton(t *testing.T) {
	is := is.New(t)
	is.Equal(Skeleton("Nursery-10"), Skeleton("nursery lO"))
	is.Equal(Skeleton("coco"), Skeleton("сосо"))
	is.Equal(Skeleton("ﬁrst"), Skeleton("first"))
	is.Equal(Skeleton("Zoё"), Skeleton("Zoë")) // the former is Cyrillic
	is.True(Skeleton("Furnir 1") != Skeleton("Furnir 2"))
	is.True(Skeleton("शिशु") != Skeleton("शिशा"))
}

// FuzzParse looks for files that parse but whose canonical form is a different contract.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validContract))
	f.Add([]byte("[Contract]\nOrganisation = a\nRateTokensPerSecond = 1\nBurstTokens = 1\nModels = %(x)s\n"))
	f.Add([]byte("\ufeff[Contract]\nOrganisation = a \\\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse(text)
		if err != nil {
			var ps inifile.Problems
			if !errors.As(err, &ps) || len(ps) == 0 {
				t.Fatalf("error without problems: %v", err)
			}
			return
		}
		again, err := Parse(c.Canonical())
		if err != nil {
			t.Fatalf("canonical form rejected: %v\n%s", err, c.Canonical())
		}
		if d := Diff(c, again); d != "" || string(again.Canonical()) != string(c.Canonical()) {
			t.Fatalf("canonical form differs: %s", d)
		}
	})
}
