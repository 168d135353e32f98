package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/inifile"
)

const minimal = `[Instance]
ID = entry-1
AvailabilityZone = zone-a
CallerAddress = 127.0.0.1:8001
OperatorAddress = 127.0.0.1:8101
PeerAddress = 127.0.0.1:8201
[Platform]
LogAddress = 127.0.0.1:9000
InstanceListAddress = 127.0.0.1:9000
WeightStoreAddress = 127.0.0.1:9000
`

func TestParseKeepsDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(minimal + "ListPeriod = 2s\n"))
	is.NoErr(err)
	is.Equal(string(s.Instance.ID), "entry-1")
	is.Equal(s.Platform.ListPeriod, 2*time.Second)
	is.Equal(s.Callers, Default().Callers)
}

func TestParseRefuses(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		code inifile.Code
		line int
	}{
		"unknown key":       {minimal + "Retetion = 1h\n", inifile.KeyUnknown, 11},
		"unknown section":   {minimal + "[Engine]\n", inifile.SectionUnknown, 11},
		"doubled key":       {minimal + "LogAddress = 127.0.0.1:9001\n", inifile.KeyDoubled, 11},
		"doubled section":   {minimal + "[Instance]\n", inifile.SectionDoubled, 11},
		"quoted":            {minimal + "ListPeriod = \"2s\"\n", inifile.ValueQuoted, 11},
		"host name":         {strings.Replace(minimal, "127.0.0.1:8001", "localhost:8001", 1), inifile.ValueForm, 4},
		"number for a time": {minimal + "ListPeriod = 2\n", inifile.ValueForm, 11},
		"decimal comma":     {minimal + "[WeightStore]\nLoadsPerSecond = 1,5\n", inifile.ValueForm, 12},
		"digit grouping":    {minimal + "[Callers]\nMaxBodyBytes = 1_048_576\n", inifile.ValueForm, 12},
		"missing key":       {strings.Replace(minimal, "ID = entry-1\n", "", 1), inifile.KeyMissing, 1},
		"no entry":          {minimal + "ListPeriod 2s\n", inifile.NotKeyValue, 11},
		"other encoding":    {minimal + "\xff\n", inifile.NotUTF8, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(c.text))
			is.True(errors.Is(err, inifile.ErrInvalid))
			var problems inifile.Problems
			is.True(errors.As(err, &problems))
			is.Equal(problems[0].Code, c.code)
			is.Equal(problems[0].Line, c.line)
			is.True(problems[0].Accepted != "")
		})
	}
}
