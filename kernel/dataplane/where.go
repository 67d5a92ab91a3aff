package dataplane

import (
	"context"
	"net/netip"

	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
)

// MethodWhere is the JSON-RPC method with which an entry explains where a new flow would go.
const MethodWhere = "flow.where"

// WhereRequest identifies a flow by its caller and the address of its route.
type WhereRequest struct {
	Caller netip.AddrPort `json:"caller"`
	Route  netip.AddrPort `json:"route"`
}

// WhereHandler returns the handler of MethodWhere. It calls where, and names the decisions as the log does.
func WhereHandler(where func(ctx context.Context, f gue.Flow) (flow.Where, error)) peer.Handler {
	return peer.Handle(func(ctx context.Context, r WhereRequest) (flow.Where, error) {
		w, err := where(ctx, gue.Flow{Caller: gue.EndpointOf(r.Caller), Service: gue.EndpointOf(r.Route)})
		NameSteps(w.Steps)
		return w, err
	})
}

// NameSteps sets the events of steps that are logged.
func NameSteps(steps []flow.WhereStep) {
	for i := range steps {
		if s := &steps[i]; s.Event == "" {
			s.Event = eventFor(s.Action).Name
		}
	}
}
