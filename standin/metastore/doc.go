// Package metastore stands in for the users' platform's metadata store: topics with
// partitions, the newest record of each key, groups with members, and faults as
// switches. It keeps everything in memory and speaks the platform's own protocol.
package metastore
