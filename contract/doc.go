// Package contract defines the contract of an organisation, its file format, and the
// difference between two versions of it.
//
// Operators have different first languages, so the file format is strict and independent
// of locale: INI with the single section [Contract], numbers in plain ASCII digits with
// the unit in the key's name, names in Unicode NFC, and lists separated by commas.
// Anything else is rejected with a stable code, the line and the accepted form.
package contract
