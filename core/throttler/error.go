package throttler

import "fmt"

// Kind classifies errors.
type Kind uint8

// KindInvalid means that a quota in the settings is invalid.
const KindInvalid Kind = iota + 1

func (k Kind) String() string {
	if k == KindInvalid {
		return "invalid"
	}
	return "unknown"
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
