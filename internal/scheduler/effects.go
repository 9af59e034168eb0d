package scheduler

// effects collects the effects of the present step, in the order in which they arise.
type effects struct{ list []Effect }

func (e *effects) emit(effect Effect) { e.list = append(e.list, effect) }

// take returns the effects collected so far and begins anew.
func (e *effects) take() []Effect {
	list := e.list
	e.list = nil
	return list
}
