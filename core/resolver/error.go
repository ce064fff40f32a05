package resolver

import (
	"fmt"
	"strings"
)

// ErrorKind classifies an Error.
type ErrorKind uint8

// The kinds of Error.
const (
	// KindSyntax means that the document is not YAML.
	KindSyntax ErrorKind = iota + 1
	// KindInvalid means that the document is YAML but violates a rule of the tree.
	KindInvalid
	// KindTooLarge means that the document is larger than MaxDocumentBytes.
	KindTooLarge
	// KindNotFound means that a path does not exist in the tree.
	KindNotFound
)

func (k ErrorKind) String() string {
	switch k {
	case KindSyntax:
		return "syntax"
	case KindInvalid:
		return "invalid"
	case KindTooLarge:
		return "too large"
	case KindNotFound:
		return "not found"
	}
	return "unknown"
}

// Error is the only error type of this package.
type Error struct {
	Op       string
	Kind     ErrorKind
	Findings []Finding
	Err      error
}

func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", e.Op, e.Kind)
	if e.Err != nil {
		fmt.Fprintf(&b, ": %v", e.Err)
	}
	for _, finding := range e.Findings {
		b.WriteString("\n")
		b.WriteString(finding.String())
	}
	return b.String()
}

// Unwrap returns the underlying error, or nil.
func (e *Error) Unwrap() error { return e.Err }

// Finding is one fault in a settings document, with what an operator needs to fix it.
type Finding struct {
	File     string `json:"file"`
	Line     int    `json:"line"`
	Path     string `json:"path"`
	Problem  string `json:"problem"`
	Expected string `json:"expected"`
	Fix      string `json:"fix"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s; expected %s; %s", f.File, f.Line, f.Path, f.Problem, f.Expected, f.Fix)
}
