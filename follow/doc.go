// Package follow reads a keyed topic of the platform's store to its end and stays
// there: first the newest record of each key, then each change as it comes.
//
// It knows when the store last confirmed that nothing newer stands in the topic: the
// moment before the call was sent that found its end. Cost: one long poll each Wait,
// about 300 bytes.
package follow
