package inifile

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var testSchema = Schema{
	{Name: "Instance", Keys: []string{"ID", "Zone"}, Required: []string{"ID"}},
	{Name: "Stop", Keys: []string{"Notice"}},
}

// Values must be returned exactly as written. By default, the library expands %(name)s,
// joins continued lines, strips inline comments, and accepts a colon in place of =.
// Fails without IgnoreContinuation or IgnoreInlineComment, and with String in place of
// Value. The scanner rejects the notations that the other two options disable before the
// library parses the file.
func TestValuesAreAsWritten(t *testing.T) {
	for _, value := range []string{"a", `%(Zone)s`, `a \`, `a # b`, "a ; b", "a=b", "a:b", "é", "a  b", "[a]", "1,5", `a"b"`} {
		t.Run(value, func(t *testing.T) {
			is := is.New(t)
			f, err := Parse([]byte("# first\r\n[Instance]\r\n Zone = z \r\nID = "+value+"\t\r\n"), testSchema, 1000)
			is.NoErr(err)
			v, ok := f.Value("Instance", "ID")
			is.True(ok)
			is.Equal(v, Value{value, 4})
			_, ok = f.Value("Stop", "Notice")
			is.True(!ok)
		})
	}
}

// Fails if any case of the scanner is left out, or if only ASCII spaces are trimmed from a
// value.
func TestProblems(t *testing.T) {
	for text, want := range map[string]struct {
		code Code
		line int
	}{
		"[Instance]\nID = \"a\"\n":          {ValueQuoted, 2},
		"[Instance]\nID = `a`\n":            {ValueQuoted, 2},
		"[Instance]\nID = \u00a0\"a\"\n":    {ValueQuoted, 2},
		"ID = a\n":                          {SectionMissing, 1},
		"[Instance] x\nID = a\n":            {SectionUnknown, 1},
		"[instance]\nID = a\n":              {SectionUnknown, 1},
		"[Instance]\nid = a\n":              {KeyUnknown, 2},
		"[Instance]\nID : a\n":              {NotKeyValue, 2},
		"[Instance]\nID = a\nID = b\n":      {KeyDoubled, 3},
		"[Instance]\nID = a\n\n[Instance]":  {SectionDoubled, 4},
		"[Stop]\nNotice = 1s\n":             {KeyMissing, 1},
		"\n[Instance]\nZone = z\n":          {KeyMissing, 2},
		"[Instance]\nID = a\x00\n":          {NotUTF8, 0},
		"\ufeff[Instance]\nID = a\n":        {NotKeyValue, 1},
		"[Instance]\nID = a\nplain words\n": {NotKeyValue, 3},
		strings.Repeat("#", 1001):           {TooLong, 0},
	} {
		t.Run(text[:min(len(text), 30)], func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(text), testSchema, 1000)
			is.True(errors.Is(err, ErrInvalid))
			var problems Problems
			is.True(errors.As(err, &problems))
			is.Equal(problems[0].Code, want.code)
			is.Equal(problems[0].Line, want.line)
			is.True(problems[0].Accepted != "")
			is.True(strings.Contains(err.Error(), string(want.code)))
		})
	}
	is := is.New(t)
	is.NoErr(Problems{}.Err())
}

// The scanner and the library must parse a file alike. Otherwise the library could return
// a value that the scanner has not checked.
// Fails without IgnoreContinuation or IgnoreInlineComment.
func FuzzRead(f *testing.F) {
	f.Add("[Instance]\nID = a\\\nZone = b")
	f.Add("[Instance]\nID = \u00a0a\v")
	f.Add("[Instance]\nID = a ; b\n[Stop]\nNotice=%(ID)s")
	f.Fuzz(func(t *testing.T, text string) {
		file, err := Parse([]byte(text), testSchema, 1000)
		if err != nil {
			if !errors.Is(err, ErrInvalid) {
				t.Fatal(err)
			}
			return
		}
		lines := strings.Split(text, "\n")
		for at, v := range file.values {
			_, written, _ := strings.Cut(lines[v.Line-1], "=")
			if written = strings.TrimSpace(written); v.Text != written {
				t.Fatalf("%s = %q was parsed as %q", at.key, written, v.Text)
			}
		}
	})
}
