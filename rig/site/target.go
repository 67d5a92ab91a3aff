package site

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/announce"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/platform"
)

const (
	// announcePeriod is how often a target announces itself, and announceTimeout when it gives a call up.
	announcePeriod  = 300 * time.Millisecond
	announceTimeout = time.Second
	// repeatAfter is when an end repeats a packet first; the interval doubles up to repeatMost.
	repeatAfter = 200 * time.Millisecond
	repeatMost  = 1600 * time.Millisecond
	// queueFactor is how many requests wait in a target for each slot; it refuses more.
	queueFactor = 4
	maxPacket   = 2048
)

// Target is what an agent stands beside. It keeps its sockets while incarnations follow each other.
type Target struct {
	Service string
	Judge   *Judge

	index         int
	packets       netip.AddrPort
	outbound      netip.AddrPort
	announcements string
	socket        *net.UDPConn

	mutex  sync.Mutex
	life   *incarnation
	random *rand.Rand
}

// incarnation is one run of a target.
type incarnation struct {
	// agent is the index of the agent beside it.
	agent    int
	target   facts.Target
	sequence uint64
	flows    map[gue.Flow]*targetFlow
	busy     int
	// drained is when an agent acknowledged that the target drains.
	drained time.Time
	ended   bool
}

// targetFlow is a flow at the target's end.
type targetFlow struct {
	initial, next, expected uint32
	open                    bool
	answer                  []byte
	requests                map[string]bool
}

// Start takes packets and announces itself until ctx ends.
func (t *Target) Start(ctx context.Context) error {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.packets))
	if err != nil {
		return errors.WithStack(err)
	}
	t.socket = c
	context.AfterFunc(ctx, func() { _ = c.Close() })
	t.Begin("")
	go t.run(ctx)
	go t.loop(ctx)
	return nil
}

// Begin starts a new incarnation, with the same id if one is given. The flows of the one before are lost.
func (t *Target) Begin(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	if t.life != nil {
		t.life.ended = true
		t.Judge.ended(t.life)
	}
	if id == "" {
		id = agentName(t.index) + "-" + now.Format("150405.000000")
	}
	t.life = &incarnation{
		agent: t.index, target: facts.Target{ID: id, StartedMs: now.UnixMilli(), State: facts.TargetReady, Slots: slots}, flows: map[gue.Flow]*targetFlow{},
	}
}

// ID is the present incarnation's id.
func (t *Target) ID() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.life.target.ID
}

// Drain makes the target announce that it drains.
func (t *Target) Drain() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.life.target.State = facts.TargetDraining
}

// loop announces.
func (t *Target) loop(ctx context.Context) {
	client := &http.Client{Timeout: announceTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(announcePeriod)
	defer ticker.Stop()
	for {
		t.announce(ctx, client)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *Target) announce(ctx context.Context, client *http.Client) {
	t.mutex.Lock()
	life := t.life
	life.sequence++
	a := announce.Announcement{Service: t.Service, Target: life.target, Sequence: life.sequence}
	t.mutex.Unlock()
	r, err := platform.AnnouncementProtocol{}.Announcement(ctx, t.announcements, t.packets.String(), a)
	if err != nil {
		return
	}
	response, err := client.Do(r)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if response.StatusCode == http.StatusOK && a.Target.State == facts.TargetDraining && life.drained.IsZero() {
		life.drained = time.Now()
	}
}

func (t *Target) run(ctx context.Context) {
	buffer := make([]byte, maxPacket)
	for {
		n, _, err := t.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		v, reason := platform.PacketCodec{}.Parse(buffer[:max(n, 0)])
		if err != nil || reason != gue.ReasonNone {
			t.Judge.broken("unreadablePacket", "a target got a packet that can't be read")
			continue
		}
		t.mutex.Lock()
		t.take(&v, append([]byte(nil), buffer[:n]...))
		t.mutex.Unlock()
	}
}

// take handles a packet; the mutex is held.
func (t *Target) take(v *flow.Header, packet []byte) {
	f := v.FlowFromCaller()
	k := t.life.flows[f]
	switch {
	case v.SYN:
		t.open(f, k, v)
	case k == nil || !k.open && v.Acknowledged != k.initial+1:
		t.bounce(v, packet)
	case v.RST:
		delete(t.life.flows, f)
	default:
		t.carry(f, k, v, packet)
	}
}

func (t *Target) open(f gue.Flow, k *targetFlow, v *flow.Header) {
	t.Judge.opening(time.Now(), t.Service, f, t.life)
	if k == nil {
		k = &targetFlow{initial: t.random.Uint32(), expected: v.Sequence + 1, requests: map[string]bool{}}
		k.next = k.initial + 1
		t.life.flows[f] = k
	}
	if !k.open {
		t.send(f, flow.Header{SYNACK: true, Sequence: k.initial, Acknowledged: k.expected}, nil)
	}
}

// bounce gives a packet back with its data and mark value, as the platform's targets do.
func (t *Target) bounce(v *flow.Header, packet []byte) {
	b := *v
	b.Bounced, b.Mark.Code = true, flow.CodeNone
	data := packet[platform.PacketCodec{}.HeaderLength():]
	_, _ = t.socket.WriteToUDPAddrPort(platform.PacketCodec{}.Encode(b, data), t.outbound)
}

func (t *Target) carry(f gue.Flow, k *targetFlow, v *flow.Header, packet []byte) {
	if !k.open {
		k.open = true
		t.Judge.opened(f, t.life)
	}
	if v.Acknowledged == k.next {
		k.answer = nil
	}
	switch {
	case v.FIN:
		t.send(f, flow.Header{Sequence: k.next, Acknowledged: v.Sequence + 1}, nil)
		t.Judge.closed(f)
		delete(t.life.flows, f)
	case v.Length > 0 && v.Sequence == k.expected:
		k.expected += uint32(v.Length)
		t.request(f, k, string(platform.PacketCodec{}.RequestID(packet)))
	case v.Length > 0:
		// A repeated request: the answer is on its way, or is repeated by itself.
		t.send(f, flow.Header{Sequence: k.next, Acknowledged: k.expected}, nil)
	}
}

func (t *Target) request(f gue.Flow, k *targetFlow, id string) {
	t.Judge.ran(id)
	life := t.life
	life.busy++
	wait := time.Duration(0)
	if over := life.busy - slots; over > 0 {
		wait = work * time.Duration(over) / slots
	}
	if life.busy > slots*(1+queueFactor) {
		life.busy--
		t.answer(f, k, life, "refused "+id)
		return
	}
	took := wait + work/2 + time.Duration(t.random.Int64N(int64(work)))
	time.AfterFunc(took, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		life.busy--
		t.answer(f, k, life, "served "+id)
	})
}

// answer sends an answer and repeats it until the caller acknowledged it; the mutex is held.
func (t *Target) answer(f gue.Flow, k *targetFlow, life *incarnation, text string) {
	if life != t.life {
		return
	}
	k.answer = []byte(text)
	first := k.next
	k.next += uint32(len(text))
	t.repeat(f, k, life, flow.Header{Sequence: first}, k.answer, repeatAfter)
}

func (t *Target) repeat(f gue.Flow, k *targetFlow, life *incarnation, v flow.Header, data []byte, after time.Duration) {
	v.Acknowledged = k.expected
	t.send(f, v, data)
	time.AfterFunc(after, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		if life == t.life && life.flows[f] == k && len(k.answer) > 0 && &k.answer[0] == &data[0] {
			t.repeat(f, k, life, v, data, min(2*after, repeatMost))
		}
	})
}

func (t *Target) send(f gue.Flow, v flow.Header, data []byte) {
	v.Source, v.Destination = f.Service, f.Caller
	_, _ = t.socket.WriteToUDPAddrPort(platform.PacketCodec{}.Encode(v, data), t.outbound)
}
