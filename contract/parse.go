package contract

import (
	"fmt"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"galenastair"
)

// maxFile bounds a contract file; three full lists of the longest names are below it.
const maxFile = 2 << 20

const section = "Contract"

// keys of a contract file, in canonical order.
const (
	keyOrganisation = "Organisation"
	keyRate         = "RateTokensPerSecond"
	keyBurst        = "BurstTokens"
	keyModels       = "Models"
	keyServices     = "Services"
	keyKeyHashes    = "KeyHashes"
)

var fileKeys = []string{keyOrganisation, keyRate, keyBurst, keyModels, keyServices, keyKeyHashes}

var requiredKeys = []string{keyOrganisation, keyRate, keyBurst}

const acceptedLine = "[Contract], or one of Organisation, RateTokensPerSecond, BurstTokens, Models, Services, KeyHashes, then = and a value"

// iniOptions switch off every second way of writing a value that the library knows.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:      true,
	IgnoreInlineComment:     true,
	PreserveSurroundedQuote: true,
	KeyValueDelimiters:      "=",
}

// Parse reads a contract file; its error is a Problems that lists all that is wrong.
func Parse(text []byte) (Contract, error) {
	lines, ps := scan(text)
	if len(ps) > 0 {
		return Contract{}, ps
	}
	file, err := ini.LoadSources(iniOptions, text)
	if err != nil {
		return Contract{}, Problems{{Code: NotKeyValue, Message: err.Error(), Accepted: acceptedLine}}
	}
	p := parser{section: file.Section(section), lines: lines}
	c := p.contract()
	if len(p.problems) > 0 {
		return Contract{}, p.problems
	}
	if ps := c.problems().at(lines); len(ps) > 0 {
		return Contract{}, ps
	}
	c.Sort()
	return c, nil
}

type parser struct {
	section  *ini.Section
	lines    map[string]int
	problems Problems
}

func (p *parser) contract() Contract {
	return Contract{
		Organisation: galenastair.Organisation(p.value(keyOrganisation)),
		Rate:         galenastair.TokensPerSecond(p.number(keyRate)),
		Burst:        galenastair.Tokens(p.number(keyBurst)),
		Models:       list[galenastair.ModelName](p, keyModels),
		Services:     list[galenastair.ServiceName](p, keyServices),
		KeyHashes:    list[galenastair.KeyHash](p, keyKeyHashes),
	}
}

func (p *parser) value(key string) string {
	if !p.section.HasKey(key) {
		return ""
	}
	// Value, and not String: the latter would expand %(name)s
	return p.section.Key(key).Value()
}

func (p *parser) number(key string) int64 {
	s := p.value(key)
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || strconv.FormatInt(n, 10) != s || n < 1 || n > MaxNumber {
		p.problems = append(p.problems, Problem{
			Code: NumberForm, Line: p.lines[key], Key: key,
			Message: fmt.Sprintf("%s is %q", key, s), Accepted: acceptedNumber,
		})
		return 0
	}
	return n
}

func list[T ~string](p *parser, key string) []T {
	s := p.value(key)
	if s == "" {
		return nil
	}
	var values []T
	for part := range strings.SplitSeq(s, ",") {
		part = strings.Trim(part, " \t")
		if part == "" {
			p.problems = append(p.problems, Problem{
				Code: ListForm, Line: p.lines[key], Key: key,
				Message: fmt.Sprintf("%s has an empty entry", key), Accepted: acceptedList,
			})
			continue
		}
		values = append(values, T(part))
	}
	return values
}
