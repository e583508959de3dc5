// Package lender carries what routers ask each other about prepaid money while the
// platform's store is away from some or all of them: loans, the statements that a
// router leaves with its witnesses, and what these remember of one that has ended.
package lender
