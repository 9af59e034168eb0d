package scheduler

// effects collects the effects of the current step, in order.
type effects struct{ list []Effect }

// emit appends an effect.
func (e *effects) emit(effect Effect) { e.list = append(e.list, effect) }

// take returns the effects collected so far and clears the list.
func (e *effects) take() []Effect {
	list := e.list
	e.list = nil
	return list
}
