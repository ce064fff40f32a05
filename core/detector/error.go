package detector

import "fmt"

// Kind tells callers which sort of failure an Error is.
type Kind uint8

// KindTiming means that the timing would break the lease argument.
const KindTiming Kind = 1

func (k Kind) String() string {
	if k == KindTiming {
		return "timing"
	}
	return "unknown"
}

// Error is the one error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
