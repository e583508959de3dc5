// Package examiner determines which requests, and which parts of prompts, crash
// the servers that run them, so that only these are kept from the servers.
//
// A server that crashes takes down all requests that it runs, so counting
// crashes alone would blame the requests that ran beside the one at fault. A
// request becomes a suspect if its server crashes before the answer has begun,
// or if more than one server crashes during it. It is still sent to servers,
// but runs in quarantine: the whole fleet runs it only once at a time, and only
// on a server where no other suspect runs. A successful answer clears it. If
// servers keep crashing during its quarantined runs, the suspicion is proven,
// and the request is blocked: it is not sent to servers for a time. When the
// block ends, the request runs in quarantine again, and each further crash
// blocks it for longer.
//
// A part of prompts, which requests may share that have nothing else in common,
// is a suspect too. Each crash accuses the parts of all requests on the server,
// most of which are innocent. A crash is refuted, and no longer evidence, once a
// server has answered a request with the part since. Until the evidence proves a
// part, requests with it run without restrictions. Then they are blocked for the
// workspaces under whose requests servers crashed.
//
// The evidence is a set of server crashes for each suspect. The evidence of two
// routers is merged by the union of the sets, which is commutative and
// idempotent. The evidence of each suspect is stored in a row of the platform's
// row store, which all routers watch. The same row reserves a quarantined run
// for one router. While the store is unavailable, routers send evidence to each
// other directly.
//
// Registry makes the decisions. It uses neither a clock nor the network:
// Examiner passes it the time, and exchanges evidence with the store and the
// other routers.
package examiner
