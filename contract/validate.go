package contract

import (
	"encoding/hex"
	"fmt"

	"galenastair"
	"galenastair/inifile"
)

// Limits of a contract. The state machine of package config rejects larger contracts, so
// that one faulty record cannot fill the 64 MB that control may use on every node.
const (
	// MaxNumber bounds rate and burst. It is far above the 5.7 million tokens per second of
	// the whole target fleet, and small enough that sums do not overflow.
	MaxNumber = 1_000_000_000_000
	// maxNameBytes bounds the length of a name, which appears in metrics and log lines.
	maxNameBytes = 128
	// maxListEntries bounds the entries of a list; the target fleet has 1,700 models.
	maxListEntries = 4096
)

const (
	acceptedNumber           = "plain digits 0 to 9 without sign, separator or leading zero, from 1 to 1000000000000"
	acceptedOrganisation     = "letters, digits, single spaces and - _ . & ' ( ) / +, at most 128 bytes, in Unicode NFC, letters of one alphabet"
	acceptedASCIIName        = "letters a to z and A to Z, digits and - _ . : / @, at most 128 bytes"
	acceptedKeyHash          = "64 digits 0 to 9 and a to f, the SHA-256 of the key"
	acceptedList             = "values separated by single commas, each once, at most 4096"
	acceptedModelsOrServices = "at least one entry in Models or Services"
)

// Validate checks all rules that do not depend on the file format.
func (c *Contract) Validate() error { return c.check().toError(inifile.File{}) }

// ValidKeyHash reports whether the hash is 64 lowercase hex digits.
func ValidKeyHash(h galenastair.KeyHash) bool { return len(checkKeyHash(keyKeyHashes, h)) == 0 }

func (c *Contract) check() keyProblems {
	var problems keyProblems
	problems = append(problems, checkOrganisation(c.Organisation)...)
	problems = append(problems, checkNumber(keyRate, int64(c.Rate))...)
	problems = append(problems, checkNumber(keyBurst, int64(c.Burst))...)
	problems = append(problems, checkList(keyModels, c.Models, checkASCIIName[galenastair.ModelName])...)
	problems = append(problems, checkList(keyServices, c.Services, checkASCIIName[galenastair.ServiceName])...)
	problems = append(problems, checkList(keyKeyHashes, c.KeyHashes, checkKeyHash)...)
	if len(c.Models)+len(c.Services) == 0 {
		problems = append(problems, newKeyProblem(keyModels, ListEmpty, "contract permits no model and no service", acceptedModelsOrServices))
	}
	return problems
}

func checkNumber(key string, n int64) keyProblems {
	if n >= 1 && n <= MaxNumber {
		return nil
	}
	return keyProblems{newKeyProblem(key, NumberRange, fmt.Sprintf("%s is %d", key, n), acceptedNumber)}
}

func checkList[T ~string](key string, list []T, check func(string, T) keyProblems) keyProblems {
	if len(list) > maxListEntries {
		return keyProblems{newKeyProblem(key, inifile.TooLong, fmt.Sprintf("%s has %d entries", key, len(list)), acceptedList)}
	}
	var problems keyProblems
	seen := make(map[T]bool, len(list))
	for _, v := range list {
		problems = append(problems, check(key, v)...)
		if seen[v] {
			problems = append(problems, newKeyProblem(key, ListDoubled, fmt.Sprintf("%s contains %q twice", key, v), acceptedList))
		}
		seen[v] = true
	}
	return problems
}

func checkKeyHash(key string, h galenastair.KeyHash) keyProblems {
	raw, err := hex.DecodeString(string(h))
	if err == nil && len(raw) == 32 && hex.EncodeToString(raw) == string(h) {
		return nil
	}
	// the message omits the value, which may be a key that was pasted by mistake
	message := fmt.Sprintf("key hash of %d characters is not 64 lowercase hex digits", len(h))
	return keyProblems{newKeyProblem(key, KeyHashForm, message, acceptedKeyHash)}
}
