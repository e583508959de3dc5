// Package lender implements the calls between routers about prepaid money while some
// or all of them cannot reach the platform's store.
//
// A router can borrow money from another one and repay it. It also reports what it
// may have spent to other routers, its witnesses. When it has ended, its successor
// asks the witnesses for these reports.
package lender
