package dispatch

// Grant is the right to send one request to one backend server.
type Grant struct {
	Choice
	ticket *Ticket
	owner  *Dispatcher
}

// FirstToken tells that the first token has come; calls after the first do nothing.
func (g *Grant) FirstToken() {
	g.owner.mu.Lock()
	defer g.owner.mu.Unlock()
	g.owner.core.FirstToken(g.owner.clock.Now(), g.ticket)
	g.owner.deliver()
}

// Release ends the grant; calls after the first do nothing.
func (g *Grant) Release(res Result) {
	g.owner.mu.Lock()
	defer g.owner.mu.Unlock()
	g.owner.core.Done(g.owner.clock.Now(), g.ticket, res)
	g.owner.deliver()
}
