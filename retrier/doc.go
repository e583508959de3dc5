// Package retrier decides what follows a failed attempt.
//
// A Retrier maps a classified failure to an action by ordered rules. They apply only once the fate of the attempt is final: not
// run, ran, or unknown for good. Failures of the environment (an upstream that drains, is fenced or is lost) are counted
// separately from failures of the request, so that a drain does not use up the request's retries.
//
// An Allowance limits the retries of a router to a pool in proportion to the pool's requests.
package retrier
