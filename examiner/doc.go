// Package examiner finds out which requests end the servers that run them.
package examiner
