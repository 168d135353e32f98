package contract

import (
	"fmt"
	"strconv"
	"strings"

	"galenastair"
	"galenastair/inifile"
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

var schema = inifile.Schema{{
	Name:     section,
	Keys:     []string{keyOrganisation, keyRate, keyBurst, keyModels, keyServices, keyKeyHashes},
	Required: []string{keyOrganisation, keyRate, keyBurst},
}}

// Parse reads a contract file; its error is an inifile.Problems that lists all that is wrong.
func Parse(text []byte) (Contract, error) {
	file, err := inifile.Read(text, schema, maxFile)
	if err != nil {
		return Contract{}, err
	}
	p := parser{file: file}
	c := p.contract()
	// a number that cannot be read is said once, and not also to be out of range
	if len(p.findings) == 0 {
		p.findings = c.check()
	}
	if err := p.findings.at(file); err != nil {
		return Contract{}, err
	}
	c.Sort()
	return c, nil
}

type parser struct {
	file     inifile.File
	findings findings
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
	// only the one form that is also written is read: no sign, no leading zero
	if err != nil || strconv.FormatInt(n, 10) != s || n < 1 || n > MaxNumber {
		p.findings = append(p.findings, found(key, NumberForm, fmt.Sprintf("%s is %q", key, s), acceptedNumber))
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
			p.findings = append(p.findings, found(key, ListForm, key+" has an empty entry", acceptedList))
			continue
		}
		values = append(values, T(part))
	}
	return values
}
