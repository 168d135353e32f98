// Package registry keeps the backend servers' registrations with the offset at which each
// part of them last changed, so that one instance can tell another what changed since the
// other's position, in some 40 bytes for a model or adapter that came or went.
//
// Offsets are those of the store's topic and mean the same at all instances: whoever leads
// next goes on telling from where the leader before stopped.
package registry
