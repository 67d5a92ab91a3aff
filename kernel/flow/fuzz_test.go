package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// fuzzStepLength is the number of input bytes that one step of FuzzSteps takes.
const fuzzStepLength = 5

// FuzzSteps gives entries and agents packets with any flags, marks and senders, between changes of members that may
// share an address, crash, or drain. No input may stop the process, in whatever state it arrives.
func FuzzSteps(f *testing.F) {
	f.Add([]byte{0, 1, 1, 0, 0, 1, 1, 2, 0, 0})
	f.Add([]byte{0, 1, 0, 3, 9, 2, 1, 4, 5, 1, 3, 0, 0, 0, 0, 4, 1, 2, 0, 0})
	f.Fuzz(func(t *testing.T, input []byte) {
		tn := newTestNetwork(t, 2, 3)
		tn.plan.Routes[0].Objective = 150 * time.Millisecond
		for ; len(input) >= fuzzStepLength; input = input[fuzzStepLength:] {
			tn.fuzzStep(input[:fuzzStepLength])
		}
		tn.advance(searchTimeout)
	})
}

// fuzzStep applies one step that the input bytes select.
func (tn *testNetwork) fuzzStep(b []byte) {
	h := tn.hosts[int(b[1])%len(tn.hosts)]
	switch b[0] % 6 {
	case 0, 1, 2:
		tn.sendFuzzed(b)
	case 3:
		tn.changeMember(h, b[2])
		for i := range tn.entries {
			tn.updateEntry(i)
		}
	case 4:
		tn.advance(time.Duration(b[2]) * 10 * time.Millisecond)
	case 5:
		tn.reportAbsence(h)
	}
}

// sendFuzzed sends a packet to an entry, an agent or from a target.
func (tn *testNetwork) sendFuzzed(b []byte) {
	h := tn.hosts[int(b[1])%len(tn.hosts)]
	flags := b[2]
	hdr := Header{
		Source: caller(int(b[1]) % 4), Destination: testService, SYN: flags&1 != 0, SYNACK: flags&2 != 0, FIN: flags&4 != 0, RST: flags&8 != 0,
		Bounced: flags&16 != 0, Length: int(flags >> 5), Attempt: uint32(b[4] % 4), Acknowledged: uint32(b[4]),
		Mark: Mark{Code: Code(b[3] % byte(codeCount+1)), Value: uint32(b[4])},
	}
	e := tn.entries[int(b[4])%len(tn.entries)]
	switch b[3] % 3 {
	case 0:
		tn.queue = append(tn.queue, packetInTransit{from: h.member.Packets, to: e.Self, packet: encode(hdr)})
	case 1:
		tn.queue = append(tn.queue, packetInTransit{from: e.Self, to: h.member.Packets, packet: encode(hdr)})
	default:
		hdr.Source, hdr.Destination = hdr.Destination, hdr.Source
		var out Output
		h.agent.HandleTargetPacket(tn.now, encode(hdr), &out)
		tn.queueOutput(h.member.Packets, &out)
	}
	for steps := 0; len(tn.queue) > 0 && steps < 1000; steps++ {
		next := tn.queue[0]
		tn.queue = tn.queue[1:]
		tn.deliver(next)
	}
	tn.queue = nil
}

// changeMember changes what the entries know about a host.
func (tn *testNetwork) changeMember(h *testHost, choice byte) {
	states := []facts.State{facts.StateServing, facts.StateDraining, facts.StateDown, facts.StateLeft}
	h.member.State = states[choice%4]
	target := *h.member.Target
	switch choice / 4 % 4 {
	case 0:
		target.StartedMs++
	case 1:
		target.State = facts.TargetDraining
	case 2:
		target.State = facts.TargetGone
	}
	h.member.Target = &target
	h.member.Incarnation = uint64(choice)
	h.member.SynTrailer = choice&64 != 0
	h.member.RouteQuestions = choice&32 != 0
	if choice >= 128 {
		h.member.Packets = netip.AddrPortFrom(address(20+int(choice)%len(tn.hosts)).Addr(), testPort)
	}
}
