package cluster

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// TimeoutError reports that a process did not do something within its time limit. Action is a verb phrase, such as
// "open its connections".
type TimeoutError struct {
	Process string
	Action  string
}

// Error names the process and what it did not do.
func (e *TimeoutError) Error() string {
	return e.Process + " did not " + e.Action + " in time"
}

// Process is a program that runs as a child process.
type Process struct {
	Name string

	command *exec.Cmd
	log     *os.File
	output  lockedBuffer
	done    chan struct{}
	err     error
}

// lockedBuffer is a bytes.Buffer that can be used concurrently.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(p)
}

// String returns everything written so far.
func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

// startProcess starts a program. Output returns its standard output; its standard error is appended to its log file.
func startProcess(directory, name, program string, arguments ...string) (*Process, error) {
	p, err := newProcess(directory, name, program, arguments)
	if err != nil {
		return nil, err
	}
	p.command.Stdout = &p.output
	return p, p.start()
}

// StartLogged starts a program whose standard output and standard error are appended to its log file.
func StartLogged(directory, name, program string, arguments ...string) (*Process, error) {
	p, err := newProcess(directory, name, program, arguments)
	if err != nil {
		return nil, err
	}
	p.command.Stdout = p.log
	return p, p.start()
}

func newProcess(directory, name, program string, arguments []string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(directory, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	p := &Process{Name: name, command: exec.Command(program, arguments...), log: log, done: make(chan struct{})}
	p.command.Stderr = log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p, nil
}

func (p *Process) start() error {
	if err := p.command.Start(); err != nil {
		return err
	}
	go p.reap()
	return nil
}

func (p *Process) reap() {
	p.err = p.command.Wait()
	_ = p.log.Close()
	close(p.done)
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s)
}

// Running reports whether the process is still running.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Wait waits until the process has exited and returns its exit error, or a TimeoutError.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return &TimeoutError{Process: p.Name, Action: "exit"}
	}
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Output returns what a process that startProcess started has written to its standard output so far.
func (p *Process) Output() string {
	return p.output.String()
}
