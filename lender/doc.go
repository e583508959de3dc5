// Package lender implements the calls between routers about prepaid money while some
// or all of them cannot reach the platform's store: loans, the reports of what it may
// have spent that a router sends to its witnesses, and the requests to witnesses for
// the reports of a router that has ended.
package lender
