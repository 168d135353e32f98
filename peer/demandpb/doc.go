// Package demandpb is the generated form of what entries tell the leader.
package demandpb
