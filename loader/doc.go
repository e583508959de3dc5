// Package loader sends load to a fleet and checks the promises of the system from outside.
//
// The load is open-loop: requests arrive by a seeded plan, independent of answers, and all times are measured from the planned
// arrival. The checks compare what the emulated upstreams report as run with what clients were told and what the table says was
// charged.
package loader
