package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Held is what an instance remembers of a flow.
type Held struct {
	Flow gue.Flow `json:"flow"`
	// Instance is the agent that an entry sends the flow's packets to; it is empty while that is searched.
	Instance string `json:"instance,omitempty"`
	// Stage is a word for where the flow stands: opening, idle, busy, closing, open, closed, searched or unknown.
	Stage string `json:"stage"`
	// IdleMs is how long ago the last packet came, in milliseconds.
	IdleMs int64 `json:"idleMs"`
	// Request is the latest request that an agent saw.
	Request string `json:"request,omitempty"`
}

var stageNames = map[stage]string{stageIdle: "idle", stageOpening: "opening", stageBusy: "busy", stageClosing: "closing"}

// Find returns the flows of a caller's address and port that the entry remembers. It looks at all flows.
func (e *Entry) Find(now time.Time, caller gue.Endpoint) []Held {
	if e.flows == nil {
		return nil
	}
	var all []Held
	for _, f := range e.flows.Keys() {
		if f.Caller != caller {
			continue
		}
		k, _ := e.flows.Peek(f)
		h := Held{Flow: f, Stage: stageNames[k.stage], IdleMs: now.Sub(k.last).Milliseconds()}
		if k.holder != nil {
			h.Instance = k.holder.instance()
		}
		if k.search != nil {
			h.Stage = "searched"
		}
		all = append(all, h)
	}
	return all
}

var agentStateNames = map[agentState]string{stateUnknown: "unknown", stateOpening: "opening", stateOpen: "open", stateClosed: "closed"}

// Find returns the flows of a caller's address and port that the agent follows. It looks at all flows.
func (a *Agent) Find(now time.Time, caller gue.Endpoint) []Held {
	if a.flows == nil {
		return nil
	}
	var all []Held
	for _, f := range a.flows.Keys() {
		if f.Caller != caller {
			continue
		}
		k, _ := a.flows.Peek(f)
		h := Held{Flow: f, Stage: agentStateNames[k.state], IdleMs: now.Sub(k.last).Milliseconds(), Request: k.request}
		if k.busy && k.state == stateOpen {
			h.Stage = "busy"
		}
		all = append(all, h)
	}
	return all
}
