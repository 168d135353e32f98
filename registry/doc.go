// Package registry stores the registrations of the backend servers together with the offset
// at which each part of them last changed. One instance can therefore send another only the
// changes since the other's offset, at about 40 bytes per added or removed model or adapter.
//
// Offsets are those of the store's topic and are the same on all instances, so a new leader
// continues sending changes from the offset at which its predecessor stopped.
package registry
