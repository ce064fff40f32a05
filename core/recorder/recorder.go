// Package recorder holds what decisions say for the log: data, like every other
// effect. Package reducer and package steerer share it.
package recorder

// Line is one line for the log.
type Line struct {
	Event  string
	Fields []Field
}

// Field is a key and a value of a log line.
type Field struct {
	Key   string
	Value string
}
