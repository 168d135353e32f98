package dispatch

// Grant permits sending one request to one backend server.
type Grant struct {
	Choice
	ticket     *Ticket
	dispatcher *Dispatcher
}

// FirstToken records the arrival of the first token. Only the first call has an effect.
func (g *Grant) FirstToken() {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	g.dispatcher.scheduler.FirstToken(g.dispatcher.clock.Now(), g.ticket)
	g.dispatcher.deliver()
}

// Release ends the grant. Only the first call has an effect.
func (g *Grant) Release(res Result) {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	g.dispatcher.scheduler.Done(g.dispatcher.clock.Now(), g.ticket, res)
	g.dispatcher.deliver()
}
