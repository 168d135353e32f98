package member

// rules switches single rules off, so that the model test can show that it
// catches their absence; all are off outside that test.
type rules struct {
	admitYourself         bool
	acceptStaleAdmission  bool
	countAnyWord          bool
	promiseWhileDeclaring bool
	aloneWithAdmission    bool
	settleByTimeAlone     bool
	countFromReceipt      bool
	renewFromReceipt      bool
	promiseWithoutLease   bool
	lapseOverRenewal      bool
	keepLongPromise       bool
	shortTakeover         bool
	trustAnyOrder         bool
	handOverUnsettled     bool
	handOverNoPromise     bool
}
