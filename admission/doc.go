// Package admission decides when an instance sends a request to a backend server that more urgent
// requests need as well. Engines read prompts in order of arrival, so a request of low priority that
// is sent early delays an urgent one that arrives later. A Controller lets less urgent requests wait
// at the instance while the queue at their best server is long, and refuses those that could only be
// late. It opens no sockets, starts no goroutines and takes the time as an argument.
//
// It is designed for more prompts than the engines read in time, of several priorities, from many
// instances that know each other's load only with a delay. Instances with the same view of a server
// must not act at the same moment. Requests are therefore released at random, with a rate that rises
// as the queue gets shorter.
//
// A request that would be on time itself, but only by making the more urgent requests behind it late,
// is held back as well: an urgent request is never served less than one that is less urgent.
//
// Size: a waiting request takes about 300 bytes and a remembered refusal about 150; MaxWaiting and
// maxRefusals bound both to 250 KB together.
package admission
