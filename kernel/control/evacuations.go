package control

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// MethodEvacuations is the JSON-RPC method that returns the evacuations that an instance knows.
const MethodEvacuations = "evacuations.get"

// evacuationWatchTimeout is how long a watch of the evacuations waits for changes. A watch does not return changes that
// follow a loss of the store's history, so it must end well within the 5 s after which an acknowledged evacuation must be
// in force. Each call is billed, which favours long watches.
const evacuationWatchTimeout = 2 * time.Second

// EvacuationsRequest asks an instance for the evacuations that it knows.
type EvacuationsRequest struct{}

// EvacuationsReply lists the evacuations that an instance knows, and the ended ones.
type EvacuationsReply struct {
	// Enabled is false if the instance does not follow evacuations.
	Enabled bool `json:"enabled"`
	// Known is false while an instance that has just started has not learned the evacuations yet.
	Known       bool               `json:"known"`
	Evacuations []facts.Evacuation `json:"evacuations,omitempty"`
}

// Evacuations reads the evacuations from the store and publishes them as facts.
type Evacuations struct {
	Store *store.Client
	// Kind is the kind of the store objects, one for each evacuated data centre.
	Kind   string
	Gossip *peer.Gossip
	Logger *slog.Logger
	// ShouldRead reports whether this instance should read the store at now.
	ShouldRead func(now time.Time) bool

	state evacuationState
	// listed is set while position is where to watch from. Otherwise the next call lists the objects.
	listed   bool
	position store.Position
	health   dependencyHealth
	// reported holds the evacuations that were last logged. It is accessed on the control goroutine only.
	reported map[string]facts.Evacuation
	// reportedKnown is set once it was logged that the evacuations are known.
	reportedKnown bool
}

// Start reads the evacuations until ctx is cancelled.
func (v *Evacuations) Start(ctx context.Context) {
	v.health = dependencyHealth{name: "storeEvacuations", logger: v.Logger}
	go v.loop(ctx)
}

// loop lists the evacuations and watches them until ctx is cancelled. A reader whose watches the store turns away lists
// at the pace of the backoff, which only a successful watch resets.
func (v *Evacuations) loop(ctx context.Context) {
	retry := backoff{}
	for ctx.Err() == nil {
		if !v.ShouldRead(time.Now()) {
			v.listed, retry = false, backoff{}
			sleep(ctx, watchCheckInterval)
			continue
		}
		if v.state.listAgain(time.Now()) {
			v.listed = false
		}
		watched := v.listed
		err := v.read(ctx)
		var expired *store.ExpiredError
		if !errors.As(err, &expired) {
			v.health.observe(err)
		}
		switch {
		case err != nil:
			// A watch that failed may have missed changes, so that the next call lists the objects.
			v.listed = false
			retry.wait(ctx)
		case watched:
			retry = backoff{}
		}
	}
}

// read lists the evacuations, or waits for changes since the previous call.
func (v *Evacuations) read(ctx context.Context) error {
	if !v.listed {
		page, err := v.Store.List(ctx, v.Kind, false)
		if err != nil {
			return err
		}
		v.state.applyList(time.Now(), page)
		v.listed, v.position = true, page.Position()
		events.EvacuationsRead.Log(v.Logger, slog.Int("count", len(page.Objects)), slog.Uint64("revision", page.Revision),
			slog.Uint64("era", page.Era))
		v.publish(ctx)
		v.logHeld()
		return nil
	}
	page, err := v.Store.Watch(ctx, v.Kind, v.position, evacuationWatchTimeout)
	if err != nil {
		return err
	}
	v.state.applyChanges(page)
	if len(page.Objects) > 0 {
		// A watch without changes does not advance the revision. If the store lost its history meanwhile, the next watch
		// fails as expired instead of passing over the changes that this one did not return.
		v.position = page.Position()
	}
	v.publish(ctx)
	return nil
}

// logHeld logs the evacuations that stay in force although a store that has returned from an older copy lacks them.
func (v *Evacuations) logHeld() {
	for _, name := range slices.Sorted(maps.Keys(v.state.held)) {
		events.EvacuationHeld.Log(v.Logger, slog.String("dataCentre", name), slog.Uint64("era", v.state.listed.Era),
			slog.Int64("ageMs", evacuationHold.Milliseconds()))
	}
}

// publish makes the instance's facts agree with what was read from the store.
func (v *Evacuations) publish(ctx context.Context) {
	v.Gossip.Do(ctx, func(now time.Time) {
		var all []facts.Fact
		for _, e := range v.state.corrections(v.Gossip.Evacuations()) {
			f, err := e.Fact()
			if err != nil {
				events.FactRefused.Log(v.Logger, events.ErrorAttr(err))
				continue
			}
			all = append(all, f)
			events.EvacuationPublished.Log(v.Logger, slog.String("dataCentre", e.DataCentre), slog.Bool("active", e.Active),
				slog.Uint64("revision", e.Revision), slog.Uint64("era", e.Era))
		}
		v.Gossip.Accept(now, all)
		v.Gossip.MarkEvacuationsKnown()
	})
}

// report logs the evacuations that began or ended for this instance and updates their gauges. It must be called on the
// control goroutine.
func (v *Evacuations) report(view *peer.View) {
	if view.EvacuationsKnown && !v.reportedKnown {
		v.reportedKnown = true
		events.EvacuationsKnown.Log(v.Logger, slog.Int("count", len(view.Evacuations)))
	}
	if v.reported == nil {
		v.reported = make(map[string]facts.Evacuation)
	}
	for _, e := range view.Evacuations {
		if e.Active == v.reported[e.DataCentre].Active {
			continue
		}
		v.reported[e.DataCentre] = e
		event, value := events.EvacuationEnded, 0.0
		if e.Active {
			event, value = events.EvacuationBegan, 1.0
		}
		event.Log(v.Logger, slog.String("dataCentre", e.DataCentre), slog.Uint64("revision", e.Revision), slog.Uint64("era", e.Era))
		metrics.GetOrCreateGauge("coltsfootline_evacuated{dataCentre="+strconv.Quote(e.DataCentre)+"}", nil).Set(value)
	}
}

// evacuations returns what this instance knows of the evacuations, or the zero value if it does not follow them.
func (n *Node) evacuations(view *peer.View) facts.Evacuations {
	if !n.FollowEvacuations {
		return facts.Evacuations{}
	}
	return facts.EvacuationsOf(view.Evacuations, view.EvacuationsKnown)
}

// shouldReadEvacuations reports whether this instance should read the evacuations from the store. Those that watch the
// plan do, and entries that no peer has told the evacuations yet.
func (n *Node) shouldReadEvacuations(now time.Time) bool {
	return n.shouldWatch(now) || n.Self.Role == facts.RoleEntry && !n.Gossip.View().EvacuationsKnown
}

// evacuationHandlers returns the JSON-RPC handler that lists the evacuations.
func (n *Node) evacuationHandlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		MethodEvacuations: peer.Handle(func(context.Context, EvacuationsRequest) (EvacuationsReply, error) {
			view := n.Gossip.View()
			if !n.FollowEvacuations {
				return EvacuationsReply{}, nil
			}
			return EvacuationsReply{Enabled: true, Known: view.EvacuationsKnown, Evacuations: view.Evacuations}, nil
		}),
	}
}
