// Package process runs a program with signal handling and an admin HTTP server, and defines the exit codes.
package process

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/events"
)

// The exit codes of all programs.
const (
	ExitOK = 0
	// ExitFailure reports any error that has no exit code of its own.
	ExitFailure = 1
	// ExitSettings reports invalid settings or arguments.
	ExitSettings = 2
	// ExitForced reports that a second signal ended the process before it had stopped.
	ExitForced = 3
)

// Process is a running program. Set Admin and Logger, then call Run.
type Process struct {
	// Admin is the address of the admin HTTP server.
	Admin netip.AddrPort
	// Pprof enables /debug/pprof/ on the admin HTTP server.
	Pprof  bool
	Logger *slog.Logger
	// Readiness is an optional second address that serves the readiness check at ReadinessPath. The admin HTTP server
	// always serves it at /readyz.
	Readiness     netip.AddrPort
	ReadinessPath string
	// Reload is called on SIGHUP. If it is nil, the signal is ignored.
	Reload func()

	// mutex guards ready and stopping.
	mutex    sync.Mutex
	ready    bool
	stopping bool
}

// ListenError reports an address that the process can't listen on.
type ListenError struct {
	Address string
	Cause   error
}

// Error returns a message with the address and the cause.
func (e *ListenError) Error() string {
	return "listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Cause
}

// SetReady sets whether the readiness checks report that the program is ready. It logs the change, if there is one. After
// SetStopping, the program is not ready whatever it sets.
func (p *Process) SetReady(ready bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	ready = ready && !p.stopping
	if p.ready != ready {
		events.ReadyChanged.Log(p.Logger, slog.Bool("ready", ready))
	}
	p.ready = ready
}

// SetStopping makes the readiness checks report for good that the program is not ready.
func (p *Process) SetStopping() {
	p.mutex.Lock()
	p.stopping = true
	p.mutex.Unlock()
	p.SetReady(false)
}

// Run starts the HTTP servers, calls run with a context that the first SIGTERM or SIGINT cancels, and returns its error.
// A second SIGTERM or SIGINT ends the process at once with ExitForced.
func (p *Process) Run(ctx context.Context, run func(context.Context) error) error {
	listener, err := net.Listen("tcp4", p.Admin.String())
	if err != nil {
		return errors.WithStack(&ListenError{Address: p.Admin.String(), Cause: err})
	}
	admin := &httpServer{server: &http.Server{Handler: p.adminHandler()}, listener: listener, logger: p.Logger}
	go admin.run()
	defer func() { _ = admin.server.Close() }()
	if p.Readiness.IsValid() {
		closeReadiness, err := p.serveReadiness()
		if err != nil {
			return err
		}
		defer closeReadiness()
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &signalHandler{cancel: cancel, logger: p.Logger, signals: make(chan os.Signal, 2), reload: p.Reload}
	signal.Notify(h.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(h.signals)
	go h.run()

	events.Started.Log(p.Logger, slog.Int("pid", os.Getpid()))
	err = run(ctx)
	events.Stopped.Log(p.Logger)
	return err
}

func (p *Process) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", p.handleReady)
	if p.Pprof {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return mux
}

func (p *Process) handleReady(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveReadiness starts the readiness server and returns the function that closes it.
func (p *Process) serveReadiness() (func(), error) {
	listener, err := net.Listen("tcp4", p.Readiness.String())
	if err != nil {
		return nil, errors.WithStack(&ListenError{Address: p.Readiness.String(), Cause: err})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+p.ReadinessPath, p.handleReady)
	readiness := &httpServer{server: &http.Server{Handler: mux}, listener: listener, logger: p.Logger}
	go readiness.run()
	return func() { _ = readiness.server.Close() }, nil
}

// httpServer serves HTTP on a listener and logs an unexpected end.
type httpServer struct {
	server   *http.Server
	listener net.Listener
	logger   *slog.Logger
}

func (s *httpServer) run() {
	err := s.server.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		events.AdminFailed.Log(s.logger, events.ErrorAttr(err))
	}
}

// signalHandler cancels the context on the first SIGTERM or SIGINT and ends the process on the second. It calls reload
// on SIGHUP.
type signalHandler struct {
	cancel  context.CancelFunc
	logger  *slog.Logger
	signals chan os.Signal
	reload  func()
}

func (h *signalHandler) run() {
	h.waitForStop()
	events.Stopping.Log(h.logger)
	h.cancel()
	h.waitForStop()
	events.StopForced.Log(h.logger)
	os.Exit(ExitForced)
}

// waitForStop returns on SIGTERM or SIGINT and calls reload on each SIGHUP before that.
func (h *signalHandler) waitForStop() {
	for s := range h.signals {
		if s != syscall.SIGHUP {
			return
		}
		if h.reload != nil {
			h.reload()
		}
	}
}
