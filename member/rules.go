package member

// rules disables single safety rules, so that the model test can verify that it detects their
// absence. All fields are false outside that test.
type rules struct {
	selfAdmission             bool
	acceptStaleJoin           bool
	acceptAnyAck              bool
	grantWhileLapsePending    bool
	soleMemberWithPendingJoin bool
	takeOverByTimeOnly        bool
	leaseFromReceipt          bool
	renewalFromReceipt        bool
	grantWithoutLease         bool
	lapseDespiteRenewal       bool
	acceptOldLongGrant        bool
	takeOverAfterShortGrant   bool
	acceptReorderedHeartbeat  bool
	handOverTooEarly          bool
	handOverWithoutGrants     bool
}
