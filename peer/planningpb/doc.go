// Package planningpb contains the generated messages and the twirp service of calls between
// instances and the leader.
package planningpb
