// Package inspector lets other goroutines look at the state of decisions, which
// belongs to one loop, between two of its events.
package inspector

import "context"

// Request is one look that waits for its turn. The loop calls Run with its state.
type Request[T any] struct {
	fn   func(T)
	done chan struct{}
}

// Run looks, and lets the asker go on.
func (r Request[T]) Run(state T) {
	r.fn(state)
	close(r.done)
}

// Inspector hands looks to the loop.
type Inspector[T any] struct{ requests chan Request[T] }

// New makes an Inspector.
func New[T any]() Inspector[T] { return Inspector[T]{requests: make(chan Request[T])} }

// Requests delivers the looks to the loop.
func (i Inspector[T]) Requests() <-chan Request[T] { return i.requests }

// Inspect runs a function between two events, and returns when it has run.
func (i Inspector[T]) Inspect(ctx context.Context, fn func(T)) error {
	request := Request[T]{fn: fn, done: make(chan struct{})}
	select {
	case i.requests <- request:
	case <-ctx.Done():
		return ctx.Err()
	}
	<-request.done
	return nil
}
