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
	// announceInterval is the interval between announcements, and announceTimeout limits each call.
	announceInterval = 300 * time.Millisecond
	announceTimeout  = time.Second
	// firstRetransmitInterval is the time until the first retransmission of a packet. The interval doubles with each
	// retransmission up to maxRetransmitInterval.
	firstRetransmitInterval = 200 * time.Millisecond
	maxRetransmitInterval   = 1600 * time.Millisecond
	// queuedPerSlot is the number of requests per slot that a target queues. It refuses further requests.
	queuedPerSlot  = 4
	maxPacketBytes = 2048
)

// Target is an emulated target. It keeps its socket across incarnations.
type Target struct {
	Service string
	Checker *Checker

	agentIndex int
	// packets is the address of the target's socket, and outbound the agent's address to which it sends packets.
	packets  netip.AddrPort
	outbound netip.AddrPort
	// announcements is the base URL to which the target sends its announcements.
	announcements string
	socket        *net.UDPConn

	mutex   sync.Mutex
	current *incarnation
	random  *rand.Rand
}

// incarnation is the state of a target from one start to the next.
type incarnation struct {
	// agentIndex is the index of the target's agent.
	agentIndex int
	target     facts.Target
	// sequence is the sequence number of the last announcement.
	sequence uint64
	flows    map[gue.Flow]*targetFlow
	// busy is the number of running and queued requests.
	busy int
	// drainAcknowledgedAt is the time at which an agent first accepted the announcement that the target is draining.
	drainAcknowledgedAt time.Time
	ended               bool
}

// targetFlow is the target's end of a flow.
type targetFlow struct {
	initialSequence, nextSequence, expectedSequence uint32
	// open is set once the caller has completed the handshake.
	open bool
	// pendingAnswer is the last answer until the caller acknowledges it.
	pendingAnswer []byte
	requests      map[string]bool
}

// Start receives packets and sends announcements until ctx ends.
func (t *Target) Start(ctx context.Context) error {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.packets))
	if err != nil {
		return errors.WithStack(err)
	}
	t.socket = c
	context.AfterFunc(ctx, func() { _ = c.Close() })
	t.StartIncarnation("")
	go t.receiveLoop(ctx)
	go t.announceLoop(ctx)
	return nil
}

// StartIncarnation replaces the current incarnation, whose flows are lost. An empty id means a new id.
func (t *Target) StartIncarnation(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	if t.current != nil {
		t.current.ended = true
		t.Checker.recordEnd(t.current)
	}
	if id == "" {
		id = agentName(t.agentIndex) + "-" + now.Format("150405.000000")
	}
	t.current = &incarnation{
		agentIndex: t.agentIndex, target: facts.Target{ID: id, StartedMs: now.UnixMilli(), State: facts.TargetReady, Slots: targetSlots}, flows: map[gue.Flow]*targetFlow{},
	}
}

// ID returns the id of the current incarnation.
func (t *Target) ID() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.current.target.ID
}

// Drain makes the target announce that it is draining.
func (t *Target) Drain() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.current.target.State = facts.TargetDraining
}

func (t *Target) announceLoop(ctx context.Context) {
	client := &http.Client{Timeout: announceTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(announceInterval)
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

// announce sends one announcement. If it fails, the next one follows after announceInterval.
func (t *Target) announce(ctx context.Context, client *http.Client) {
	t.mutex.Lock()
	current := t.current
	current.sequence++
	a := announce.Announcement{Service: t.Service, Target: current.target, Sequence: current.sequence}
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
	if response.StatusCode == http.StatusOK && a.Target.State == facts.TargetDraining && current.drainAcknowledgedAt.IsZero() {
		current.drainAcknowledgedAt = time.Now()
	}
}

func (t *Target) receiveLoop(ctx context.Context) {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, _, err := t.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		hdr, reason := platform.PacketCodec{}.Parse(buffer[:max(n, 0)])
		if err != nil || reason != gue.ReasonNone {
			t.Checker.report("unreadablePacket", "a target received a malformed packet")
			continue
		}
		t.mutex.Lock()
		t.handlePacket(&hdr, append([]byte(nil), buffer[:n]...))
		t.mutex.Unlock()
	}
}

// handlePacket handles one packet. The mutex must be held.
func (t *Target) handlePacket(hdr *flow.Header, packet []byte) {
	f := hdr.FlowFromCaller()
	tf := t.current.flows[f]
	switch {
	case hdr.SYN:
		t.handleSYN(f, tf, hdr)
	case tf == nil || !tf.open && hdr.Acknowledged != tf.initialSequence+1:
		t.bounce(hdr, packet)
	case hdr.RST:
		delete(t.current.flows, f)
	default:
		t.handleEstablished(f, tf, hdr, packet)
	}
}

// handleSYN responds to a SYN with a SYN-ACK unless the flow is already open.
func (t *Target) handleSYN(f gue.Flow, tf *targetFlow, hdr *flow.Header) {
	t.Checker.checkSYN(time.Now(), t.Service, f, t.current)
	if tf == nil {
		tf = &targetFlow{initialSequence: t.random.Uint32(), expectedSequence: hdr.Sequence + 1, requests: map[string]bool{}}
		tf.nextSequence = tf.initialSequence + 1
		t.current.flows[f] = tf
	}
	if !tf.open {
		t.send(f, flow.Header{SYNACK: true, Sequence: tf.initialSequence, Acknowledged: tf.expectedSequence}, nil)
	}
}

// bounce returns a packet with its payload and mark value to the agent, as the platform's targets do.
func (t *Target) bounce(hdr *flow.Header, packet []byte) {
	bounced := *hdr
	bounced.Bounced, bounced.Mark.Code = true, flow.CodeNone
	data := packet[platform.PacketCodec{}.HeaderLength():]
	_, _ = t.socket.WriteToUDPAddrPort(platform.PacketCodec{}.Encode(bounced, data), t.outbound)
}

// handleEstablished handles a packet, other than a SYN or RST, of a flow that the target holds.
func (t *Target) handleEstablished(f gue.Flow, tf *targetFlow, hdr *flow.Header, packet []byte) {
	if !tf.open {
		tf.open = true
		t.Checker.recordOpen(f, t.current)
	}
	if hdr.Acknowledged == tf.nextSequence {
		tf.pendingAnswer = nil
	}
	switch {
	case hdr.FIN:
		t.send(f, flow.Header{Sequence: tf.nextSequence, Acknowledged: hdr.Sequence + 1}, nil)
		t.Checker.recordClose(f)
		delete(t.current.flows, f)
	case hdr.Length > 0 && hdr.Sequence == tf.expectedSequence:
		tf.expectedSequence += uint32(hdr.Length)
		t.startRequest(f, tf, string(platform.PacketCodec{}.RequestID(packet)))
	case hdr.Length > 0:
		// A retransmitted request is only acknowledged. Its answer is still to come or is being retransmitted.
		t.send(f, flow.Header{Sequence: tf.nextSequence, Acknowledged: tf.expectedSequence}, nil)
	}
}

// startRequest runs a request and sends its answer. If all slots are in use, it first waits for its place in the
// queue times meanServiceTime / targetSlots, the mean interval at which slots become free. If the queue is full, it is
// refused.
func (t *Target) startRequest(f gue.Flow, tf *targetFlow, id string) {
	t.Checker.recordRun(id)
	inc := t.current
	inc.busy++
	queueTime := time.Duration(0)
	if excess := inc.busy - targetSlots; excess > 0 {
		queueTime = meanServiceTime * time.Duration(excess) / targetSlots
	}
	if inc.busy > targetSlots*(1+queuedPerSlot) {
		inc.busy--
		t.sendAnswer(f, tf, inc, "refused "+id)
		return
	}
	duration := queueTime + meanServiceTime/2 + time.Duration(t.random.Int64N(int64(meanServiceTime)))
	time.AfterFunc(duration, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		inc.busy--
		t.sendAnswer(f, tf, inc, "served "+id)
	})
}

// sendAnswer sends an answer and retransmits it until the caller acknowledges it. It sends nothing if the target has
// restarted since the request. The mutex must be held.
func (t *Target) sendAnswer(f gue.Flow, tf *targetFlow, inc *incarnation, text string) {
	if inc != t.current {
		return
	}
	tf.pendingAnswer = []byte(text)
	first := tf.nextSequence
	tf.nextSequence += uint32(len(text))
	t.sendUntilAcknowledged(f, tf, inc, flow.Header{Sequence: first}, tf.pendingAnswer, firstRetransmitInterval)
}

// sendUntilAcknowledged sends an answer and retransmits it at growing intervals while it is pending. The mutex must be
// held.
func (t *Target) sendUntilAcknowledged(f gue.Flow, tf *targetFlow, inc *incarnation, hdr flow.Header, data []byte, interval time.Duration) {
	hdr.Acknowledged = tf.expectedSequence
	t.send(f, hdr, data)
	time.AfterFunc(interval, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		// A later answer has a buffer of its own, so the address of the data tells whether this answer is still pending.
		if inc == t.current && inc.flows[f] == tf && len(tf.pendingAnswer) > 0 && &tf.pendingAnswer[0] == &data[0] {
			t.sendUntilAcknowledged(f, tf, inc, hdr, data, min(2*interval, maxRetransmitInterval))
		}
	})
}

func (t *Target) send(f gue.Flow, hdr flow.Header, data []byte) {
	hdr.Source, hdr.Destination = f.Service, f.Caller
	_, _ = t.socket.WriteToUDPAddrPort(platform.PacketCodec{}.Encode(hdr, data), t.outbound)
}
