package galenastair

// Peer is another instance of the system and the address at which it accepts requests.
type Peer struct {
	ID               InstanceID
	Address          string
	AvailabilityZone AvailabilityZone
}
