package galenastair

import (
	"crypto/sha256"
	"encoding/hex"
)

// InstanceID identifies an instance of the system for the lifetime of its process.
type InstanceID string

// AvailabilityZone is the failure domain in which an instance or backend server runs.
type AvailabilityZone string

// Region is a group of availability zones that form one control domain.
type Region string

// Organisation is the name of a customer, as spelled in its contract.
type Organisation string

// BackendServerID identifies a backend server, that is, a model engine or a plain service.
type BackendServerID string

// SoftwareVersion is the version of a backend server's software. Events of two versions do not fit
// together in one stream.
type SoftwareVersion string

// ModelName is the name by which callers request a model or an adapter.
type ModelName string

// ServiceName is the name by which callers request a plain service.
type ServiceName string

// RequestID identifies a caller's request on all instances and backend servers that handle it.
type RequestID string

// IdempotencyKey is chosen by the caller and identifies a request that must not run twice.
type IdempotencyKey string

// OrderID identifies an order to a model engine.
type OrderID string

// RecordID identifies a record in the log. The author chooses it before the append.
type RecordID string

// KeyHash is the hexadecimal SHA-256 digest of a caller's API key. The key itself is never stored.
type KeyHash string

// HashKey returns the KeyHash of an API key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}
