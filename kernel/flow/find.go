package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Info is what an instance knows about a flow.
type Info struct {
	Flow gue.Flow `json:"flow"`
	// Instance is the agent that an entry forwards the flow to. It is empty while the entry searches for the holder.
	Instance string `json:"instance,omitempty"`
	// Stage is the state of the flow: opening, idle, busy, closing, open, closed, searched or unknown.
	Stage string `json:"stage"`
	// IdleMs is the time since the last packet, in milliseconds.
	IdleMs int64 `json:"idleMs"`
	// Request is the ID of the latest request that an agent saw.
	Request string `json:"request,omitempty"`
}

var stageNames = map[stage]string{stageIdle: "idle", stageOpening: "opening", stageBusy: "busy", stageClosing: "closing"}

// Find returns the flows of a caller's address and port that the entry remembers. It scans all flows.
func (e *Entry) Find(now time.Time, caller gue.Endpoint) []Info {
	if e.flows == nil {
		return nil
	}
	var infos []Info
	for _, f := range e.flows.Keys() {
		if f.Caller != caller {
			continue
		}
		ef, _ := e.flows.Peek(f)
		infos = append(infos, ef.info(now, f))
	}
	return infos
}

// info returns what the entry knows about the flow.
func (ef *entryFlow) info(now time.Time, f gue.Flow) Info {
	info := Info{Flow: f, Stage: stageNames[ef.stage], IdleMs: now.Sub(ef.lastPacket).Milliseconds()}
	if ef.holder != nil {
		info.Instance = ef.holder.instance()
	}
	if ef.search != nil {
		info.Stage = "searched"
	}
	return info
}

var agentStateNames = map[agentState]string{stateUnknown: "unknown", stateOpening: "opening", stateOpen: "open", stateClosed: "closed"}

// Find returns the flows of a caller's address and port that the agent tracks. It scans all flows.
func (a *Agent) Find(now time.Time, caller gue.Endpoint) []Info {
	if a.flows == nil {
		return nil
	}
	var infos []Info
	for _, f := range a.flows.Keys() {
		if f.Caller != caller {
			continue
		}
		af, _ := a.flows.Peek(f)
		info := Info{Flow: f, Stage: agentStateNames[af.state], IdleMs: now.Sub(af.lastPacket).Milliseconds(), Request: af.requestID}
		if af.busy && af.state == stateOpen {
			info.Stage = "busy"
		}
		infos = append(infos, info)
	}
	return infos
}
