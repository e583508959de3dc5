// Package examiner determines which requests crash the servers that run them, so
// that only these requests are kept from the servers.
//
// A server that crashes takes down all requests that it runs, so counting crashes
// alone would blame the requests that ran beside the one at fault. A request whose
// answer had not begun when its server crashed, or that had more than one server
// crash, is a suspect. It is still sent to servers, but runs in quarantine: only
// once at a time in the whole fleet, on a server where no other suspect runs. A
// successful answer clears it. If servers keep crashing during its quarantined
// runs, the suspicion is proven, and it is not sent to servers for a time that
// grows with every further crash.
//
// The evidence is a set of server crashes for each request. The findings of two
// routers are merged by the union of the sets, which is commutative and
// idempotent. The evidence of each suspect is stored in a row of the platform's
// row store, which all routers watch. The same row reserves a quarantined run for
// one router. While the store is unavailable, routers send evidence to each other
// directly.
//
// Registry makes the decisions and uses neither a clock nor the network. Examiner
// provides both.
package examiner
