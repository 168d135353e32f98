// Package recordpb holds the generated messages and twirp service Records.
package recordpb
