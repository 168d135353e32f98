package contract

import (
	"fmt"
	"strconv"
	"strings"

	"galenastair"
	"galenastair/inifile"
)

// maxFileBytes bounds a contract file; three full lists of the longest names fit into it.
const maxFileBytes = 2 << 20

const section = "Contract"

// Keys of a contract file, in canonical order.
const (
	keyOrganisation = "Organisation"
	keyRate         = "RateTokensPerSecond"
	keyBurst        = "BurstTokens"
	keyModels       = "Models"
	keyServices     = "Services"
	keyKeyHashes    = "KeyHashes"
)

var schema = inifile.Schema{{
	Name:     section,
	Keys:     []string{keyOrganisation, keyRate, keyBurst, keyModels, keyServices, keyKeyHashes},
	Required: []string{keyOrganisation, keyRate, keyBurst},
}}

// Parse parses a contract file. Its error is an inifile.Problems that lists all problems.
func Parse(text []byte) (Contract, error) {
	file, err := inifile.Parse(text, schema, maxFileBytes)
	if err != nil {
		return Contract{}, err
	}
	p := parser{file: file}
	c := p.contract()
	// do not report a malformed number again as out of range
	if len(p.problems) == 0 {
		p.problems = c.check()
	}
	if err := p.problems.toError(file); err != nil {
		return Contract{}, err
	}
	c.Sort()
	return c, nil
}

type parser struct {
	file     inifile.File
	problems keyProblems
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
	v, _ := p.file.Value(section, key)
	return v.Text
}

func (p *parser) number(key string) int64 {
	s := p.value(key)
	n, err := strconv.ParseInt(s, 10, 64)
	// accept only the canonical form: no sign, no leading zeros
	if err != nil || strconv.FormatInt(n, 10) != s || n < 1 || n > MaxNumber {
		p.problems = append(p.problems, newKeyProblem(key, NumberForm, fmt.Sprintf("%s is %q", key, s), acceptedNumber))
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
			p.problems = append(p.problems, newKeyProblem(key, ListForm, key+" has an empty entry", acceptedList))
			continue
		}
		values = append(values, T(part))
	}
	return values
}
