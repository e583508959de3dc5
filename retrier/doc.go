// Package retrier decides what follows a failed attempt.
//
// A Retrier maps a classified failure to an action by ordered rules. The caller must wait until the fate of the attempt is final:
// not run, ran, or unknown for good. With PolicyDisruptions, most retries after failures that the environment caused, for example
// a drain of the upstream, are free. They are counted separately, so that a drain does not use up the request's counted retries.
//
// An Allowance grants the retries of one incarnation of a router to a pool, and a Share tells its part of those that do not depend on
// requests, so that all incarnations of all routers together keep one limit.
package retrier
