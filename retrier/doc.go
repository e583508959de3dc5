// Package retrier decides what follows a failed attempt.
//
// Ordered rules map a classified failure to an action. They apply only once it
// is final whether the request ran. Failures of the environment (an upstream
// that drains, is fenced or is lost) are counted separately from failures of
// the request, so that a drain does not use up the request's retries.
package retrier
