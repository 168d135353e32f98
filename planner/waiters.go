package planner

// waiters are the requests that wait for an order to be taken or given up.
type waiters struct{ all []chan bool }

// add returns what tells one more of them whether the order was taken.
func (w *waiters) add() <-chan bool {
	c := make(chan bool, 1)
	w.all = append(w.all, c)
	return c
}

// notify tells all of them, once.
func (w *waiters) notify(taken bool) {
	for _, c := range w.all {
		c <- taken
	}
	w.all = nil
}
