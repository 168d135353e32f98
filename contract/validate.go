package contract

import (
	"encoding/hex"
	"fmt"

	"galenastair"
	"galenastair/inifile"
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
	acceptedReach   = "at least one entry in Models or Services"
)

// Validate checks every rule that does not depend on how the contract was written.
func (c *Contract) Validate() error { return c.check().at(inifile.File{}) }

// ValidKeyHash tells whether the hash has the one accepted form.
func ValidKeyHash(h galenastair.KeyHash) bool { return len(checkKeyHash(keyKeyHashes, h)) == 0 }

func (c *Contract) check() findings {
	var fs findings
	fs = append(fs, checkOrganisation(c.Organisation)...)
	fs = append(fs, checkNumber(keyRate, int64(c.Rate))...)
	fs = append(fs, checkNumber(keyBurst, int64(c.Burst))...)
	fs = append(fs, checkList(keyModels, c.Models, checkPlainName[galenastair.ModelName])...)
	fs = append(fs, checkList(keyServices, c.Services, checkPlainName[galenastair.ServiceName])...)
	fs = append(fs, checkList(keyKeyHashes, c.KeyHashes, checkKeyHash)...)
	if len(c.Models)+len(c.Services) == 0 {
		fs = append(fs, found(keyModels, ListEmpty, "the contract permits no model and no service", acceptedReach))
	}
	return fs
}

func checkNumber(key string, n int64) findings {
	if n >= 1 && n <= MaxNumber {
		return nil
	}
	return findings{found(key, NumberRange, fmt.Sprintf("%s is %d", key, n), acceptedNumber)}
}

func checkList[T ~string](key string, list []T, check func(string, T) findings) findings {
	if len(list) > maxList {
		return findings{found(key, inifile.TooLong, fmt.Sprintf("%s has %d entries", key, len(list)), acceptedList)}
	}
	var fs findings
	seen := make(map[T]bool, len(list))
	for _, v := range list {
		fs = append(fs, check(key, v)...)
		if seen[v] {
			fs = append(fs, found(key, ListDoubled, fmt.Sprintf("%s has %q twice", key, v), acceptedList))
		}
		seen[v] = true
	}
	return fs
}

func checkKeyHash(key string, h galenastair.KeyHash) findings {
	raw, err := hex.DecodeString(string(h))
	if err == nil && len(raw) == 32 && hex.EncodeToString(raw) == string(h) {
		return nil
	}
	// the value itself is not repeated: it may be a key that was pasted by mistake
	message := fmt.Sprintf("a key hash has %d characters or others than hex digits", len(h))
	return findings{found(key, KeyHashForm, message, acceptedKeyHash)}
}
