package planning

import "galenastair/claim"

// encodeCrashes returns the digests and, in the same order, the servers.
func encodeCrashes(crashes []claim.Crash) (digests, servers []string) {
	for _, c := range crashes {
		digests, servers = append(digests, string(c.Digest)), append(servers, string(c.Server))
	}
	return digests, servers
}

// decodeCrashes is the inverse of encodeCrashes. An instance of an older version sends no servers.
func decodeCrashes(digests, servers []string) []claim.Crash {
	var out []claim.Crash
	for i, d := range digests {
		c := claim.Crash{Digest: claim.Digest(d)}
		if i < len(servers) {
			c.Server = claim.ServerProcess(servers[i])
		}
		out = append(out, c)
	}
	return out
}
