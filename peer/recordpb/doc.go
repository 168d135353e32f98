// Package recordpb contains the generated messages and the twirp service by which instances
// read the log's streams from each other.
package recordpb
