// Package gatherer waits for the concurrent components of a program to stop and collects
// their errors.
package gatherer

// Component is a running component of a program. Results receives ResultCount values, one
// from each of its goroutines when that stops: its error, or nil.
type Component struct {
	Results     <-chan error
	ResultCount int
}

// Group collects the results of components.
type Group struct {
	firstError chan error
	allDone    chan struct{}
}

// New returns a Group that collects results until all components have stopped.
func New(components ...Component) Group {
	group := Group{firstError: make(chan error, 1), allDone: make(chan struct{})}
	finished := make(chan struct{})
	for _, c := range components {
		go func() {
			group.collect(c)
			finished <- struct{}{}
		}()
	}
	go func() {
		for range components {
			<-finished
		}
		close(group.allDone)
	}()
	return group
}

func (g Group) collect(c Component) {
	for range c.ResultCount {
		err := <-c.Results
		if err == nil {
			continue
		}
		select {
		case g.firstError <- err:
		default:
		}
	}
}

// FirstError returns a channel that receives the first error of any component. It receives
// nothing if all components stop without an error.
func (g Group) FirstError() <-chan error { return g.firstError }

// Wait returns when every component has stopped.
func (g Group) Wait() { <-g.allDone }
