// Package gatherer waits for the ends of a program's parts.
package gatherer

// Component is a running part of a program, with the number of values that its
// channel gets.
type Component struct {
	Results     <-chan error
	ResultCount int
}

// Group gathers the ends of parts.
type Group struct {
	firstError chan error
	allDone    chan struct{}
}

// New gathers the ends of parts until all have ended.
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

// FirstError delivers the first failure of a part, if there is one.
func (g Group) FirstError() <-chan error { return g.firstError }

// Wait returns when every part has ended.
func (g Group) Wait() { <-g.allDone }
