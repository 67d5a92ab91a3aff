// Package process runs a program: signals, the administration page and the exit code.
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
	"sync/atomic"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/events"
)

// The exit codes of every program.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
	ExitForced   = 3
)

// Process is a running program. Set Admin and Logger, then call Run.
type Process struct {
	Admin  netip.AddrPort
	Pprof  bool
	Logger *slog.Logger
	// Readiness is a further address that answers whether the program is ready, at ReadinessPath; it may be absent.
	Readiness     netip.AddrPort
	ReadinessPath string
	// Reload runs on SIGHUP; nil ignores the signal.
	Reload func()

	ready atomic.Bool
}

// ListenError reports an address that can't be listened on.
type ListenError struct {
	Address string
	Cause   error
}

// Error names the address.
func (e *ListenError) Error() string {
	return "listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Cause
}

// SetReady switches what /readyz answers.
func (p *Process) SetReady(ready bool) {
	if p.ready.Swap(ready) != ready {
		events.ReadyChanged.Log(p.Logger, slog.Bool("ready", ready))
	}
}

// Run serves the administration page and calls body with a context that SIGTERM or SIGINT cancels.
// A second signal ends the process at once with ExitForced.
func (p *Process) Run(ctx context.Context, body func(context.Context) error) error {
	listener, err := net.Listen("tcp4", p.Admin.String())
	if err != nil {
		return errors.WithStack(&ListenError{Address: p.Admin.String(), Cause: err})
	}
	a := &adminServer{server: &http.Server{Handler: p.handler()}, listener: listener, logger: p.Logger}
	go a.run()
	defer func() { _ = a.server.Close() }()
	if p.Readiness.IsValid() {
		closeReadiness, err := p.serveReadiness()
		if err != nil {
			return err
		}
		defer closeReadiness()
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &signalWatch{cancel: cancel, logger: p.Logger, signals: make(chan os.Signal, 2), reload: p.Reload}
	signal.Notify(w.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(w.signals)
	go w.run()

	events.Started.Log(p.Logger, slog.Int("pid", os.Getpid()))
	err = body(ctx)
	events.Stopped.Log(p.Logger)
	return err
}

func (p *Process) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", p.answerReady)
	if p.Pprof {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return mux
}

func (p *Process) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !p.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *Process) serveReadiness() (func(), error) {
	l, err := net.Listen("tcp4", p.Readiness.String())
	if err != nil {
		return nil, errors.WithStack(&ListenError{Address: p.Readiness.String(), Cause: err})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+p.ReadinessPath, p.answerReady)
	a := &adminServer{server: &http.Server{Handler: mux}, listener: l, logger: p.Logger}
	go a.run()
	return func() { _ = a.server.Close() }, nil
}

type adminServer struct {
	server   *http.Server
	listener net.Listener
	logger   *slog.Logger
}

func (a *adminServer) run() {
	err := a.server.Serve(a.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		events.AdminFailed.Log(a.logger, events.Failure(err))
	}
}

type signalWatch struct {
	cancel  context.CancelFunc
	logger  *slog.Logger
	signals chan os.Signal
	reload  func()
}

func (w *signalWatch) run() {
	w.awaitStop()
	events.Stopping.Log(w.logger)
	w.cancel()
	w.awaitStop()
	events.StopForced.Log(w.logger)
	os.Exit(ExitForced)
}

func (w *signalWatch) awaitStop() {
	for s := range w.signals {
		if s != syscall.SIGHUP {
			return
		}
		if w.reload != nil {
			w.reload()
		}
	}
}
