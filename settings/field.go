package settings

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/inifile"
)

// errForm says that a value is not in the accepted form.
var errForm = eris.New("not in the accepted form")

// field ties one key of the file to the setting that it gives.
type field struct {
	section  string
	key      string
	required bool
	accepted string
	set      func(text string) error
}

type fields []field

func (s *Settings) fields() fields {
	in, pl, ca, en, ws, st := &s.Instance, &s.Platform, &s.Callers, &s.Engines, &s.WeightStore, &s.Stop
	return fields{
		name("Instance", "ID", true, &in.ID),
		name("Instance", "Region", false, &in.Region),
		name("Instance", "AvailabilityZone", true, &in.AvailabilityZone),
		address("Instance", "CallerAddress", &in.CallerAddress),
		address("Instance", "OperatorAddress", &in.OperatorAddress),
		address("Instance", "PeerAddress", &in.PeerAddress),
		optional(address("Instance", "PeerListenAddress", &in.PeerListenAddress)),
		text("Instance", "History", &in.History),
		address("Platform", "LogAddress", &pl.LogAddress),
		address("Platform", "InstanceListAddress", &pl.InstanceListAddress),
		address("Platform", "WeightStoreAddress", &pl.WeightStoreAddress),
		duration("Platform", "ListPeriod", &pl.ListPeriod, 100*time.Millisecond, time.Minute),
		duration("Platform", "Retention", &pl.Retention, time.Second, 8760*time.Hour),
		whole("Callers", "MaxHeaderBytes", &ca.HeaderBytes, 1024, 1<<20),
		whole("Callers", "MaxBodyBytes", &ca.BodyBytes, 1024, 1<<30),
		duration("Callers", "ReadHeaderTimeout", &ca.ReadHeader, 100*time.Millisecond, time.Minute),
		duration("Callers", "RequestTimeout", &ca.Request, time.Second, time.Hour),
		duration("Callers", "PingPeriod", &ca.Ping, 100*time.Millisecond, time.Minute),
		whole("Callers", "DefaultOutputTokens", &ca.DefaultOutput, 1, 1<<20),
		whole("Callers", "MaxOutputTokens", &ca.MaxOutput, 1, 1<<20),
		names("Engines", "CheckFence", &en.CheckFence),
		duration("Engines", "ProgressTimeout", &en.Progress, 100*time.Millisecond, 10*time.Minute),
		duration("Engines", "ReportPeriod", &en.ReportPeriod, 50*time.Millisecond, time.Minute),
		decimal("WeightStore", "LoadsPerSecond", &ws.LoadsPerSecond, 0.01, 10000),
		whole("WeightStore", "LoadsInFlight", &ws.LoadsInFlight, 1, 10000),
		whole("WeightStore", "AdapterLoadsInFlight", &ws.AdapterLoadsInFlight, 1, 10000),
		duration("Stop", "Notice", &st.Notice, 0, time.Minute),
		duration("Stop", "Timeout", &st.Timeout, time.Second, time.Hour),
	}
}

func (fs fields) schema() inifile.Schema {
	var schema inifile.Schema
	for _, f := range fs {
		if len(schema) == 0 || schema[len(schema)-1].Name != f.section {
			schema = append(schema, inifile.Section{Name: f.section})
		}
		last := &schema[len(schema)-1]
		last.Keys = append(last.Keys, f.key)
		if f.required {
			last.Required = append(last.Required, f.key)
		}
	}
	return schema
}

func (fs fields) set(file inifile.File) error {
	var problems inifile.Problems
	for _, f := range fs {
		v, ok := file.Value(f.section, f.key)
		if !ok {
			continue
		}
		if err := f.set(v.Text); err != nil {
			problems = append(problems, inifile.Problem{
				Code:     inifile.ValueForm,
				Line:     v.Line,
				Message:  fmt.Sprintf("%s is %q", f.key, v.Text),
				Accepted: f.accepted,
			})
		}
	}
	return problems.Err()
}

// maxName bounds a name, which stands in logs, records and metrics.
const maxName = 100

func validName(s string) bool {
	return s != "" && len(s) <= maxName && !strings.ContainsFunc(s, notNameRune)
}

func notNameRune(r rune) bool {
	return r > unicode.MaxASCII || !unicode.IsLetter(r) && !unicode.IsDigit(r) && !strings.ContainsRune("-_.", r)
}

const acceptedName = "1 to 100 of a-z A-Z 0-9 - _ ."

func name[T ~string](section, key string, required bool, to *T) field {
	return field{section, key, required, acceptedName, func(s string) error {
		if !validName(s) {
			return errForm
		}
		*to = T(s)
		return nil
	}}
}

func names(section, key string, to *[]galenastair.BackendServerID) field {
	return field{section, key, false, "names with commas between them, each " + acceptedName, func(s string) error {
		var list []galenastair.BackendServerID
		for part := range strings.SplitSeq(s, ",") {
			part = strings.TrimSpace(part)
			if !validName(part) {
				return errForm
			}
			list = append(list, galenastair.BackendServerID(part))
		}
		*to = list
		return nil
	}}
}

func text(section, key string, to *string) field {
	return field{section, key, false, "a file's path", func(s string) error {
		*to = s
		return nil
	}}
}

func optional(f field) field {
	f.required = false
	return f
}

func address(section, key string, to *string) field {
	return field{section, key, true, "an IP number, a colon and a port, such as 127.0.0.1:8080", func(s string) error {
		host, port, err := net.SplitHostPort(s)
		if err != nil || net.ParseIP(host) == nil {
			return errForm
		}
		if _, err := strconv.ParseUint(port, 10, 16); err != nil {
			return errForm
		}
		*to = s
		return nil
	}}
}

func duration(section, key string, to *time.Duration, least, most time.Duration) field {
	accepted := fmt.Sprintf("a time from %s to %s, written like 500ms, 10s or 2m", least, most)
	return field{section, key, false, accepted, func(s string) error {
		d, err := time.ParseDuration(s)
		if err != nil || d < least || d > most {
			return errForm
		}
		*to = d
		return nil
	}}
}

func whole[T ~int | ~int64](section, key string, to *T, least, most int64) field {
	accepted := fmt.Sprintf("a whole number from %d to %d, in plain digits", least, most)
	return field{section, key, false, accepted, func(s string) error {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil || strconv.FormatInt(n, 10) != s || n < least || n > most {
			return errForm
		}
		*to = T(n)
		return nil
	}}
}

func decimal(section, key string, to *float64, least, most float64) field {
	accepted := fmt.Sprintf("a number from %g to %g, in plain digits with a point", least, most)
	return field{section, key, false, accepted, func(s string) error {
		n, err := strconv.ParseFloat(s, 64)
		if err != nil || strings.ContainsAny(s, "eExXpP_+ ") || n < least || n > most {
			return errForm
		}
		*to = n
		return nil
	}}
}
