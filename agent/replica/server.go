package replica

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/process"
)

// Runner runs a handed-over request. It calls tryStart once it holds a slot and runs the request only if that returns
// true. The result ran reports whether the request may have run.
type Runner interface {
	ServeHandedOver(ctx context.Context, r *http.Request, tryStart func() bool) (response *http.Response, ran bool)
}

// Server accepts requests that other agents hand over. Set the exported fields, then call Start.
type Server struct {
	Address  netip.AddrPort
	Runner   Runner
	Registry *Registry

	server *http.Server
}

// Start listens and serves until ctx ends.
func (s *Server) Start(ctx context.Context) error {
	l, err := net.Listen("tcp4", s.Address.String())
	if err != nil {
		return errors.WithStack(&process.ListenError{Address: s.Address.String(), Cause: err})
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: connectTimeout * 10}
	context.AfterFunc(ctx, func() { _ = s.server.Close() })
	go s.serve(l)
	return nil
}

func (s *Server) serve(l net.Listener) {
	// Serve returns when ctx ends. If it fails earlier, the other agents run their requests themselves.
	_ = s.server.Serve(l)
}

// ServeHTTP runs one handed-over request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(IDHeader)
	r.Header.Del(IDHeader)
	if id == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	response, ran := s.Runner.ServeHandedOver(r.Context(), r, func() bool { return s.Registry.TryStart(time.Now(), id) })
	defer func() { _ = response.Body.Close() }()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.Header().Del(OutcomeHeader)
	if !ran {
		w.Header().Set(OutcomeHeader, notRunValue)
	}
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(w, response.Body); err != nil {
		// The response is incomplete. Aborting the connection makes that visible to the agent that handed the request over.
		panic(http.ErrAbortHandler)
	}
}
