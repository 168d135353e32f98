package galenastair

import (
	"crypto/sha256"
	"encoding/hex"
)

// InstanceID names one instance of the system for as long as its process lives.
type InstanceID string

// AvailabilityZone names the failure domain that an instance or backend server runs in.
type AvailabilityZone string

// Region names a group of availability zones that forms one control domain.
type Region string

// Organisation names a customer, as its contract spells it.
type Organisation string

// BackendServerID names a model engine or plain service behind the system.
type BackendServerID string

// ModelName names a model or an adapter, as callers ask for it.
type ModelName string

// ServiceName names a plain service, as callers ask for it.
type ServiceName string

// RequestID names one request of a caller on its whole way through the system.
type RequestID string

// IdempotencyKey is the caller's own name for a request that may not be repeated.
type IdempotencyKey string

// OrderID names one order to a model engine.
type OrderID string

// RecordID names one record of the log; its author chooses it before appending.
type RecordID string

// KeyHash is the hex SHA-256 digest of a caller's key; keys themselves are kept nowhere.
type KeyHash string

// HashKey returns the digest under which a key is known to the system.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}
