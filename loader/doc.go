// Package loader sends load to a fleet and checks the promises of the system from outside.
//
// The load is open-loop: requests arrive by a seeded plan, independent of answers, and the time until an answer or its first
// token is measured from the planned arrival. The checks compare what the emulated upstreams report as run with the answers that
// clients got and with the charges in the platform's table.
package loader
