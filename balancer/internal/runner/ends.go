package runner

// part is a running part of the daemon, with the number of values that its
// channel gets.
type part struct {
	ends  <-chan error
	count int
}

// partEnds gathers the ends of the parts. The first failure is on first; all is
// closed when every part has ended.
type partEnds struct {
	first chan error
	all   chan struct{}
}

func merge(parts ...part) partEnds {
	ends := partEnds{first: make(chan error, 1), all: make(chan struct{})}
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

func (e partEnds) gather(p part) {
	for range p.count {
		err := <-p.ends
		if err == nil {
			continue
		}
		select {
		case e.first <- err:
		default:
		}
	}
}

func (e partEnds) wait() { <-e.all }
