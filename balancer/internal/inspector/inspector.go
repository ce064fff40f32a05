// Package inspector lets other goroutines read state that belongs to an event loop. The loop
// runs their functions between two events, so the state needs no lock.
package inspector

import "context"

// Request is a function that waits to be run by the loop, which calls Run with its state.
type Request[T any] struct {
	fn   func(T)
	done chan struct{}
}

// Run calls the function with state and unblocks the goroutine that requested it.
func (r Request[T]) Run(state T) {
	r.fn(state)
	close(r.done)
}

// Inspector passes functions from other goroutines to the loop.
type Inspector[T any] struct{ requests chan Request[T] }

// New returns an Inspector of an event loop with state of type T.
func New[T any]() Inspector[T] { return Inspector[T]{requests: make(chan Request[T])} }

// Requests returns the channel from which the loop receives requests.
func (i Inspector[T]) Requests() <-chan Request[T] { return i.requests }

// Inspect has the loop call fn between two events, and returns when fn has returned. It
// returns the context's error, without calling fn, if ctx is canceled before the loop
// accepts the request.
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
