package caller

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/tcpstack"
)

const (
	dialTimeout        = 10 * time.Second
	maxConcurrentDials = 64
	redialDelay        = 200 * time.Millisecond
)

// Settings is the content of the settings file of a caller process.
type Settings struct {
	Name      string             `yaml:"name"`
	Address   netip.Addr         `yaml:"address"`
	Packets   netip.AddrPort     `yaml:"packets"`
	Fabric    netip.AddrPort     `yaml:"fabric"`
	Loads     []Load             `yaml:"loads"`
	Seconds   float64            `yaml:"seconds"`
	Seed      uint64             `yaml:"seed"`
	Outcomes  string             `yaml:"outcomes"`
	TimeoutMs int64              `yaml:"timeoutMs"`
	KeepAlive tcpstack.KeepAlive `yaml:"keepAlive"`
}

// Process opens the connections of one caller process and sends requests on them.
type Process struct {
	Settings Settings
	Outcomes io.Writer
	// Ready is called after every connection has been dialled once, successfully or not.
	Ready func()
	// Stop ends the load early; it may be nil.
	Stop <-chan os.Signal

	stack  *tcpstack.Stack
	socket *net.UDPConn
	// mutex serialises writes to Outcomes.
	mutex sync.Mutex
	// started is when the load started, in Unix nanoseconds, or 0 before.
	started           atomic.Int64
	brokenConnections atomic.Int64
	openAtEnd         atomic.Int64
	failedDials       atomic.Int64
}

// Run opens the connections, sends requests for the set time, checks each connection with a final request and returns
// the totals.
func (p *Process) Run(ctx context.Context) (Summary, error) {
	if err := p.startStack(ctx); err != nil {
		return Summary{}, err
	}
	opened := &sync.WaitGroup{}
	ended := &sync.WaitGroup{}
	stop := make(chan struct{})
	dialSlots := make(chan struct{}, maxConcurrentDials)
	total := 0
	for i, l := range p.Settings.Loads {
		rates := l.rates()
		for n := range l.Connections {
			c := &connection{
				process:   p,
				load:      l,
				rate:      rates[n],
				name:      p.Settings.Name + "-" + strconv.Itoa(i) + "-" + strconv.Itoa(n),
				random:    rand.New(rand.NewPCG(p.Settings.Seed, uint64(i)<<32|uint64(n))),
				stop:      stop,
				dialSlots: dialSlots,
			}
			opened.Add(1)
			ended.Add(1)
			total++
			go c.run(ctx, opened, ended)
		}
	}
	opened.Wait()
	p.started.Store(time.Now().UnixNano())
	p.Ready()
	select {
	case <-ctx.Done():
	case <-p.Stop:
	case <-time.After(time.Duration(p.Settings.Seconds * float64(time.Second))):
	}
	close(stop)
	ended.Wait()
	return Summary{
		Connections: total,
		Broken:      int(p.brokenConnections.Load()),
		OpenAtEnd:   int(p.openAtEnd.Load()),
		DialFailed:  int(p.failedDials.Load()),
	}, nil
}

// sinceStart returns how long the load has run, or 0 before every connection has been dialled.
func (p *Process) sinceStart(now time.Time) time.Duration {
	started := p.started.Load()
	if started == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, started))
}

func (p *Process) startStack(ctx context.Context) error {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(p.Settings.Packets))
	if err != nil {
		return err
	}
	_ = socket.SetReadBuffer(8 << 20)
	_ = socket.SetWriteBuffer(8 << 20)
	p.socket = socket
	p.stack, err = tcpstack.New(p.Settings.Address.As4(), p.Settings.KeepAlive)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = socket.Close() })
	go (&receiver{p}).run()
	go (&sender{p}).run(ctx)
	return nil
}

// receiver passes packets from the socket to the TCP stack.
type receiver struct {
	process *Process
}

func (r *receiver) run() {
	b := make([]byte, 2048)
	for {
		n, _, err := r.process.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if _, reason := gue.Parse(b[:n]); reason == gue.ReasonNone {
			r.process.stack.InjectInbound(b[:n])
		}
	}
}

// sender sends the packets of the TCP stack to the fabric.
type sender struct {
	process *Process
}

func (s *sender) run(ctx context.Context) {
	for {
		b := s.process.stack.ReadOutbound(ctx)
		if b == nil {
			return
		}
		_, _ = s.process.socket.WriteToUDPAddrPort(b, s.process.Settings.Fabric)
	}
}

// record writes an outcome to Outcomes as a line of JSON.
func (p *Process) record(o Outcome) {
	line, err := json.Marshal(o)
	if err != nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, _ = p.Outcomes.Write(append(line, '\n'))
}
