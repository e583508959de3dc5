// Package lender implements the calls between routers about prepaid tokens.
//
// A router that has too few tokens in its own grant can borrow tokens from another router, and repays what it does not use.
// While the row store is late or does not answer, a router also reports to some other routers, its witnesses, how many
// tokens it has taken. After it has ended, its successor asks the witnesses for these reports. Package treasurer decides
// when to make these calls.
package lender
