package planner

// waiters holds the requests that wait until an order is accepted or given up.
type waiters struct{ channels []chan bool }

// add returns a channel that receives whether the order was accepted.
func (w *waiters) add() <-chan bool {
	c := make(chan bool, 1)
	w.channels = append(w.channels, c)
	return c
}

// notify notifies all waiters and removes them.
func (w *waiters) notify(accepted bool) {
	for _, c := range w.channels {
		c <- accepted
	}
	w.channels = nil
}
