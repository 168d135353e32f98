// Package permit bounds the requests in flight at a backend server over all instances together. It is
// for servers that fail if they have to decline more than a few requests per second: an instance sends a
// request only with a permit, of which there are as many as the server has slots, so that the server
// declines none. Requests wait for a permit in place of the server's queue, in the order of their arrival.
//
// One instance, the issuer, has the Table of a server's permits in memory. The others renew the permits
// that they hold, which also makes them known to the next issuer; a permit whose holder has ended expires.
//
// Cost: some 100 bytes a permit at the issuer; for each request a call to the issuer before it is sent,
// and a message after its end that is shared with other requests.
package permit
