package steerer

// Visits counts the entries of the lists of targets and hosts that events went through.
func (s *Steerer) Visits() (targets, hosts uint64) { return s.targets.visits, s.peers.visits }
