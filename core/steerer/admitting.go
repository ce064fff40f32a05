package steerer

// wouldWait reports whether the request of a new flow would wait behind others that
// wait at this host already.
//
// What goes wrong if the flow is taken: its caller waits for an answer that can't be in
// time, and takes the place of one that can. Nothing has run, so it is told at once.
// Open flows can't be refused; with fewer of them less has to wait.
func (s *Steerer) wouldWait(route Route, to *target) bool {
	return route.Kind.repeatable() && s.pressed(to.Service) && s.service(to.Service).paced > 0
}
