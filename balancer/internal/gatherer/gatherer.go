// Package gatherer waits for the ends of a program's parts.
package gatherer

// Part is a running part of a program, with the number of values that its
// channel gets.
type Part struct {
	Ends  <-chan error
	Count int
}

// Ends gathers the ends of parts.
type Ends struct {
	first chan error
	all   chan struct{}
}

// New gathers the ends of parts until all have ended.
func New(parts ...Part) Ends {
	ends := Ends{first: make(chan error, 1), all: make(chan struct{})}
	finished := make(chan struct{})
	for _, p := range parts {
		go func() {
			ends.gather(p)
			finished <- struct{}{}
		}()
	}
	go func() {
		for range parts {
			<-finished
		}
		close(ends.all)
	}()
	return ends
}

func (e Ends) gather(p Part) {
	for range p.Count {
		err := <-p.Ends
		if err == nil {
			continue
		}
		select {
		case e.first <- err:
		default:
		}
	}
}

// First delivers the first failure of a part, if there is one.
func (e Ends) First() <-chan error { return e.first }

// Wait returns when every part has ended.
func (e Ends) Wait() { <-e.all }
