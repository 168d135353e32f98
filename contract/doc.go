// Package contract holds what one organisation has been promised, the one
// written form in which operators state it, and the difference between two
// versions of it.
//
// Operators share no first language, so a contract file has one unambiguous
// form: INI with the single section [Contract], numbers in plain ASCII digits
// with the unit in the key's name, names in Unicode NFC, lists separated by
// commas. Anything else is refused with a stable code, the line and the form
// that is accepted.
package contract
