// Package admission decides when an instance sends a request to a backend server that more urgent
// requests need as well. Engines read prompts in order of arrival, so a request of low priority that
// is sent early delays an urgent one that arrives later. A Controller lets less urgent requests wait
// at the instance while the queue at their best server is long, and refuses those that could only be
// late. It opens no sockets, starts no goroutines and takes the time as an argument.
//
// It is designed for more prompts than the engines read in time, of several priorities, from many
// instances that know each other's load only with a delay. Instances with the same view of a server
// must not act at the same moment. In a shortage, each therefore sends at a random time, to a random
// server, and no more than its share of what the server can do, corrected by the queue that results.
//
// A request that reaches its last moment is sent, so that waiting makes none late. With more work than
// the servers can do, this would make urgent requests late, so that the likelihood of a refusal rises
// with the share of the requests that reach it. Retries after a refusal are no exception, but their last
// moment is before their deadline, and they go before new requests.
//
// A retry after a refusal is recognised by the digest of the request, at the instance that refused it.
// At others it counts as a new request.
//
// Size: a waiting request takes about 300 bytes, a remembered refusal 150, and the state of a model or
// server 200. MaxWaiting, maxRefusals, maxTrends and maxRates bound them to 750 KB together.
package admission
