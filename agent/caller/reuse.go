package caller

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// checkHolder handles a SYN of a locked flow that another agent is known to hold. The SYN is a late copy of the one that
// opened the connection, or the caller uses the 4-tuple again after that connection has ended. Only the holder knows
// which, so it is asked, unless it has left the service.
func (t *Terminator) checkHolder(f *flow, in inboundPacket, now time.Time) {
	holder, ok := t.route.Load().MemberByAddress(f.peer)
	if !ok {
		f.endEarlierConnection()
		t.placeNewFlow(f, in, now)
		return
	}
	t.lookUpHolder(f, in, []facts.Member{holder}, now)
}

// finishHolderCheck applies the reply of the agent that was known to hold a flow, if it doesn't hold it, or the lack of a
// reply.
func (t *Terminator) finishHolderCheck(f *flow, noReply bool, now time.Time) {
	route := t.route.Load()
	if m, ok := route.MemberByAddress(f.peer); noReply && ok && m.State != facts.StateDown {
		// The agent may hold the flow: the caller's next SYN starts another check.
		f.state = stateRemote
		f.takeBuffered()
		return
	}
	f.endEarlierConnection()
	if owner, ok := route.OwnerOf(f.hash); ok && owner.Packets != t.Self.Packets {
		f.state = stateRemote
		f.peer = owner.Packets
		t.forwardBuffered(f)
		return
	}
	if former := t.formerOwners(f.hash, now); len(former) > 0 {
		t.enqueueLookup(f, former, now)
		return
	}
	t.acceptBuffered(f, now)
}

// endEarlierConnection makes the table entry ready for a new connection of the same 4-tuple. That one gets a later epoch,
// because agents that know the earlier connection refuse its epochs.
func (f *flow) endEarlierConnection() {
	f.earlierEpoch = max(f.earlierEpoch, f.epoch)
	f.epoch = 0
}
