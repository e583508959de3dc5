// Package logger creates structured loggers, which write one line of key=value pairs for each event.
package logger
