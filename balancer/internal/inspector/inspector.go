// Package inspector lets other goroutines look at the state of decisions, which
// belongs to one loop, between two of its events.
package inspector

import "context"

// Look is one look that waits for its turn. The loop calls Run with its state.
type Look[T any] struct {
	run  func(T)
	done chan struct{}
}

// Run looks, and lets the asker go on.
func (l Look[T]) Run(state T) {
	l.run(state)
	close(l.done)
}

// Inspector hands looks to the loop.
type Inspector[T any] struct{ looks chan Look[T] }

// New makes an Inspector.
func New[T any]() Inspector[T] { return Inspector[T]{looks: make(chan Look[T])} }

// Looks delivers the looks to the loop.
func (i Inspector[T]) Looks() <-chan Look[T] { return i.looks }

// Inspect runs a function between two events, and returns when it has run.
func (i Inspector[T]) Inspect(ctx context.Context, run func(T)) error {
	l := Look[T]{run: run, done: make(chan struct{})}
	select {
	case i.looks <- l:
	case <-ctx.Done():
		return ctx.Err()
	}
	<-l.done
	return nil
}
