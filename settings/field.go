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

var errInvalidValue = eris.New("not in the accepted form")

// field maps one key of the file to the setting that it sets.
type field struct {
	section  string
	key      string
	required bool
	accepted string
	set      func(text string) error
}

type fields []field

func (s *Settings) fields() fields {
	instance, platform, callers, engines, weights, stop := &s.Instance, &s.Platform, &s.Callers, &s.Engines, &s.WeightStore, &s.Stop
	return fields{
		name("Instance", "ID", true, &instance.ID),
		name("Instance", "Region", false, &instance.Region),
		name("Instance", "AvailabilityZone", true, &instance.AvailabilityZone),
		address("Instance", "CallerAddress", &instance.CallerAddress),
		address("Instance", "OperatorAddress", &instance.OperatorAddress),
		address("Instance", "PeerAddress", &instance.PeerAddress),
		optional(address("Instance", "PeerListenAddress", &instance.PeerListenAddress)),
		filePath("Instance", "History", &instance.HistoryPath),
		address("Platform", "LogAddress", &platform.LogAddress),
		address("Platform", "InstanceListAddress", &platform.InstanceListAddress),
		address("Platform", "WeightStoreAddress", &platform.WeightStoreAddress),
		duration("Platform", "ListPeriod", &platform.ListPeriod, 100*time.Millisecond, time.Minute),
		duration("Platform", "Retention", &platform.Retention, time.Second, 8760*time.Hour),
		integer("Callers", "MaxHeaderBytes", &callers.MaxHeaderBytes, 1024, 1<<20),
		integer("Callers", "MaxBodyBytes", &callers.MaxBodyBytes, 1024, 1<<30),
		duration("Callers", "ReadHeaderTimeout", &callers.ReadHeaderTimeout, 100*time.Millisecond, time.Minute),
		duration("Callers", "RequestTimeout", &callers.RequestTimeout, time.Second, time.Hour),
		duration("Callers", "PingPeriod", &callers.PingPeriod, 100*time.Millisecond, time.Minute),
		integer("Callers", "DefaultOutputTokens", &callers.DefaultOutputTokens, 1, 1<<20),
		integer("Callers", "MaxOutputTokens", &callers.MaxOutputTokens, 1, 1<<20),
		nameList("Engines", "CheckFence", &engines.CheckFence),
		duration("Engines", "ProgressTimeout", &engines.ProgressTimeout, 100*time.Millisecond, 10*time.Minute),
		duration("Engines", "ReportPeriod", &engines.ReportPeriod, 50*time.Millisecond, time.Minute),
		decimal("WeightStore", "LoadsPerSecond", &weights.LoadsPerSecond, 0.01, 10000),
		integer("WeightStore", "LoadsInFlight", &weights.LoadsInFlight, 1, 10000),
		integer("WeightStore", "AdapterLoadsInFlight", &weights.AdapterLoadsInFlight, 1, 10000),
		duration("Stop", "Notice", &stop.Notice, 0, time.Minute),
		duration("Stop", "Timeout", &stop.Timeout, time.Second, time.Hour),
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

func (fs fields) assign(file inifile.File) error {
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

// maxNameLength is the maximum length in bytes of a name. Names are part of log lines, records
// and metrics, which a longer name would bloat.
const maxNameLength = 100

func validName(s string) bool {
	return s != "" && len(s) <= maxNameLength && !strings.ContainsFunc(s, notNameRune)
}

func notNameRune(r rune) bool {
	return r > unicode.MaxASCII || !unicode.IsLetter(r) && !unicode.IsDigit(r) && !strings.ContainsRune("-_.", r)
}

const acceptedNameForm = "1 to 100 of a-z A-Z 0-9 - _ ."

func name[T ~string](section, key string, required bool, dst *T) field {
	return field{section, key, required, acceptedNameForm, func(s string) error {
		if !validName(s) {
			return errInvalidValue
		}
		*dst = T(s)
		return nil
	}}
}

func nameList(section, key string, dst *[]galenastair.BackendServerID) field {
	return field{section, key, false, "names separated by commas, each " + acceptedNameForm, func(s string) error {
		var list []galenastair.BackendServerID
		for part := range strings.SplitSeq(s, ",") {
			part = strings.TrimSpace(part)
			if !validName(part) {
				return errInvalidValue
			}
			list = append(list, galenastair.BackendServerID(part))
		}
		*dst = list
		return nil
	}}
}

func filePath(section, key string, dst *string) field {
	return field{section, key, false, "a file path", func(s string) error {
		*dst = s
		return nil
	}}
}

func optional(f field) field {
	f.required = false
	return f
}

func address(section, key string, dst *string) field {
	return field{section, key, true, "an IP address and a port, such as 127.0.0.1:8080", func(s string) error {
		host, port, err := net.SplitHostPort(s)
		if err != nil || net.ParseIP(host) == nil {
			return errInvalidValue
		}
		if _, err := strconv.ParseUint(port, 10, 16); err != nil {
			return errInvalidValue
		}
		*dst = s
		return nil
	}}
}

func duration(section, key string, dst *time.Duration, minimum, maximum time.Duration) field {
	accepted := fmt.Sprintf("a duration from %s to %s, such as 500ms, 10s or 2m", minimum, maximum)
	return field{section, key, false, accepted, func(s string) error {
		d, err := time.ParseDuration(s)
		if err != nil || d < minimum || d > maximum {
			return errInvalidValue
		}
		*dst = d
		return nil
	}}
}

func integer[T ~int | ~int64](section, key string, dst *T, minimum, maximum int64) field {
	accepted := fmt.Sprintf("an integer from %d to %d, in plain digits", minimum, maximum)
	return field{section, key, false, accepted, func(s string) error {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil || strconv.FormatInt(n, 10) != s || n < minimum || n > maximum {
			return errInvalidValue
		}
		*dst = T(n)
		return nil
	}}
}

func decimal(section, key string, dst *float64, minimum, maximum float64) field {
	accepted := fmt.Sprintf("a number from %g to %g, in plain digits with a decimal point", minimum, maximum)
	return field{section, key, false, accepted, func(s string) error {
		n, err := strconv.ParseFloat(s, 64)
		if err != nil || strings.ContainsAny(s, "eExXpP_+ ") || n < minimum || n > maximum {
			return errInvalidValue
		}
		*dst = n
		return nil
	}}
}
