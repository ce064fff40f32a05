package detector

import "fmt"

// Kind classifies an Error.
type Kind uint8

// KindTiming means that the timing would allow two hosts to hold a lease at once.
const KindTiming Kind = 1

func (k Kind) String() string {
	if k == KindTiming {
		return "timing"
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
