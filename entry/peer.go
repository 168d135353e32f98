package entry

import (
	"net/http"

	"github.com/gorilla/mux"

	"galenastair/member"
)

// peerHandler serves the other instances.
func (e *Entry) peerHandler() http.Handler {
	r := mux.NewRouter()
	r.PathPrefix(member.PathPrefix).Handler(e.members.Handler())
	return r
}
