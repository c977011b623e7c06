package disk

// InSequence makes the calls that are made in parallel run by the given function.
func (d *Directory) InSequence(run func(calls ...func() error) error) { d.inParallel = run }
