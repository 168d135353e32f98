package contract

import (
	"encoding/hex"
	"fmt"

	"galenastair"
)

// Limits of a contract; the fold refuses what is larger, so that one mistaken
// record cannot fill the 64 MB that control may use on every node.
const (
	// MaxNumber bounds rate and burst: far over the 5.7 million tokens a second
	// of the whole target fleet, and small enough that no sum of them overflows.
	MaxNumber = 1_000_000_000_000
	// maxName bounds a name in bytes; it stands in metrics and log lines.
	maxName = 128
	// maxList bounds the entries of a list: the target has 1,700 models.
	maxList = 4096
)

const (
	acceptedNumber  = "plain digits 0 to 9 without sign, separator or leading zero, from 1 to 1000000000000"
	acceptedOrg     = "letters, digits, single spaces and - _ . & ' ( ) / +, at most 128 bytes, in Unicode NFC, letters of one alphabet"
	acceptedPlain   = "letters a to z and A to Z, digits and - _ . : / @, at most 128 bytes"
	acceptedKeyHash = "64 digits 0 to 9 and a to f, the SHA-256 of the key"
	acceptedList    = "values separated by single commas, each once, at most 4096"
)

// Validate checks every rule that does not depend on how the contract was written.
func (c *Contract) Validate() error { return c.problems().err() }

func (c *Contract) problems() Problems {
	var ps Problems
	ps = append(ps, checkOrganisation(c.Organisation)...)
	ps = append(ps, checkNumber(keyRate, int64(c.Rate))...)
	ps = append(ps, checkNumber(keyBurst, int64(c.Burst))...)
	ps = append(ps, checkList(keyModels, c.Models, checkPlainName[galenastair.ModelName])...)
	ps = append(ps, checkList(keyServices, c.Services, checkPlainName[galenastair.ServiceName])...)
	ps = append(ps, checkList(keyKeyHashes, c.KeyHashes, checkKeyHash)...)
	if len(c.Models)+len(c.Services) == 0 {
		ps = append(ps, Problem{Code: ListEmpty, Key: keyModels, Message: "the contract permits no model and no service", Accepted: "at least one entry in Models or Services"})
	}
	return ps
}

// ValidKeyHash tells whether the hash has the one accepted form.
func ValidKeyHash(h galenastair.KeyHash) bool { return len(checkKeyHash(h)) == 0 }

func checkNumber(key string, n int64) Problems {
	if n >= 1 && n <= MaxNumber {
		return nil
	}
	return Problems{{Code: NumberRange, Key: key, Message: fmt.Sprintf("%s is %d", key, n), Accepted: acceptedNumber}}
}

func checkList[T ~string](key string, list []T, check func(T) Problems) Problems {
	var ps Problems
	if len(list) > maxList {
		return Problems{{Code: TooLong, Key: key, Message: fmt.Sprintf("%s has %d entries", key, len(list)), Accepted: acceptedList}}
	}
	seen := make(map[T]bool, len(list))
	for _, v := range list {
		ps = append(ps, check(v).of(key)...)
		if seen[v] {
			ps = append(ps, Problem{Code: ListDoubled, Key: key, Message: fmt.Sprintf("%s has %q twice", key, v), Accepted: acceptedList})
		}
		seen[v] = true
	}
	return ps
}

func checkKeyHash(h galenastair.KeyHash) Problems {
	raw, err := hex.DecodeString(string(h))
	if err == nil && len(raw) == 32 && hex.EncodeToString(raw) == string(h) {
		return nil
	}
	// the value itself is not repeated: it may be a key that was pasted by mistake
	return Problems{{Code: KeyHashForm, Message: fmt.Sprintf("a key hash has %d characters or others than hex digits", len(h)), Accepted: acceptedKeyHash}}
}
