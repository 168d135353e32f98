// Package metastore is a fake of the metadata store of the users' platform: topics, the
// latest record of each key, idempotent producers, fault injection, and a return from an older copy. It implements
// the platform's own protocol. All state is in memory.
package metastore
