// Package forwarder serves opaque requests. It passes request bodies to servers without interpreting them, and uses only the
// request line, the host and what the caller declares about the request in its headers. Of an answer it uses the status and
// headers and, in a stream, the event boundaries and IDs.
//
// An exchange carries one request. The forwarder finds its route, workspace and pool and reads its body. The exchange then
// reserves budget for the most that the request may consume if it declares its tokens, chooses a server, and relays the answer.
// It records for every attempt whether the request may have run, because a refusal that reports "not run" must be true: the
// caller may rely on it to send a non-repeatable request again.
package forwarder
