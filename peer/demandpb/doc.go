// Package demandpb contains the generated messages and the twirp service by which entries
// report the demand for each model to the leader.
package demandpb
