package galenastair

// Peer is another instance, as it can be called.
type Peer struct {
	ID               InstanceID
	Address          string
	AvailabilityZone AvailabilityZone
}
