// Package commander implements the command line. It parses arguments and calls the other packages.
//
// Every command exits with 0 on success, 1 on failure and 2 on a usage error, such as an unknown flag or an invalid argument.
package commander
