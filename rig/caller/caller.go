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
	dialTimeout    = 10 * time.Second
	dialConcurrent = 64
	redialPause    = 200 * time.Millisecond
)

// Settings is the settings file of a caller process.
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

// Process drives all connections of one caller process.
type Process struct {
	Settings Settings
	Outcomes io.Writer
	// Ready is called when every connection was opened once.
	Ready func()
	// Stop ends the load early; it may be nil.
	Stop <-chan os.Signal

	stack   *tcpstack.Stack
	socket  *net.UDPConn
	mutex   sync.Mutex
	started atomic.Int64
	broken  atomic.Int64
	open    atomic.Int64
	failed  atomic.Int64
}

// Run opens the connections, sends requests for the set time, proves each connection once more and sums up.
func (p *Process) Run(ctx context.Context) (Summary, error) {
	if err := p.connect(ctx); err != nil {
		return Summary{}, err
	}
	opened := &sync.WaitGroup{}
	ended := &sync.WaitGroup{}
	until := make(chan struct{})
	dials := make(chan struct{}, dialConcurrent)
	total := 0
	for i, l := range p.Settings.Loads {
		rates := l.rates()
		for n := range l.Connections {
			c := &connection{
				process: p,
				load:    l,
				rate:    rates[n],
				name:    p.Settings.Name + "-" + strconv.Itoa(i) + "-" + strconv.Itoa(n),
				random:  rand.New(rand.NewPCG(p.Settings.Seed, uint64(i)<<32|uint64(n))),
				until:   until,
				dials:   dials,
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
	close(until)
	ended.Wait()
	return Summary{
		Connections: total,
		Broken:      int(p.broken.Load()),
		OpenAtEnd:   int(p.open.Load()),
		DialFailed:  int(p.failed.Load()),
	}, nil
}

// sinceStart is how long the load has run, or 0 before every connection was opened.
func (p *Process) sinceStart(now time.Time) time.Duration {
	started := p.started.Load()
	if started == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, started))
}

func (p *Process) connect(ctx context.Context) error {
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
	go (&incoming{p}).run()
	go (&outgoing{p}).run(ctx)
	return nil
}

type incoming struct {
	process *Process
}

func (i *incoming) run() {
	b := make([]byte, 2048)
	for {
		n, _, err := i.process.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if _, reason := gue.Parse(b[:n]); reason == gue.ReasonNone {
			i.process.stack.InjectInbound(b[:n])
		}
	}
}

type outgoing struct {
	process *Process
}

func (o *outgoing) run(ctx context.Context) {
	for {
		b := o.process.stack.ReadOutbound(ctx)
		if b == nil {
			return
		}
		_, _ = o.process.socket.WriteToUDPAddrPort(b, o.process.Settings.Fabric)
	}
}

func (p *Process) record(o Outcome) {
	line, err := json.Marshal(o)
	if err != nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, _ = p.Outcomes.Write(append(line, '\n'))
}
