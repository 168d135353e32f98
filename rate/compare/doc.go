// Package compare simulates several strategies for enforcing an organisation's rate and
// burst over all instances with the same requests and a simulated clock, and prints how
// many requests each strategy refuses and what it costs.
//
// The requests are generated from a seed that is printed. Refusals are compared with a
// single bucket that all instances reach without cost: a refusal counts as within the
// rate if that bucket grants the request. The time that messages take and callers that
// retry after a refusal are not simulated.
package compare
