// Package recorder defines the log lines that decisions produce. They are plain data, like all
// other effects. Packages reducer and steerer share it.
package recorder

// Line is one line of the log.
type Line struct {
	Event  string
	Fields []Field
}

// Field is a key and a value of a log line.
type Field struct {
	Key   string
	Value string
}
