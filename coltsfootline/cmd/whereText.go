package cmd

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
)

// printWhere prints an explanation for people.
func printWhere(w io.Writer, r *flow.Where) error {
	_, _ = fmt.Fprintf(w, "flow %s\nentry %s in data centre %s, policy %s\n%s\n", r.Flow, r.Instance, r.DataCentre, r.Policy, planText(r))
	if r.Route != nil {
		_, _ = fmt.Fprintln(w, routeText(r))
	}
	if r.Known != nil {
		_, _ = fmt.Fprintln(w, knownText(r.Known))
	}
	if err := printWhereHosts(w, r); err != nil {
		return err
	}
	printSteps(w, r)
	for _, n := range whereNotes(r) {
		_, _ = fmt.Fprintln(w, "note: "+n)
	}
	return nil
}

// printSteps prints the steps. Equal ones in a row are printed once.
func printSteps(w io.Writer, r *flow.Where) {
	for i, times := 0, 1; i < len(r.Steps); i, times = i+times, 1 {
		switch i {
		case 0:
			_, _ = fmt.Fprintln(w, "now:")
		case 1:
			_, _ = fmt.Fprintln(w, "if each host returns the SYN as busy, with all slots in use:")
		}
		text := stepText(r, i)
		for i > 0 && i+times < len(r.Steps) && stepText(r, i+times) == text {
			times++
		}
		if times > 1 {
			text += fmt.Sprintf(" (%d times)", times)
		}
		_, _ = fmt.Fprintln(w, "  "+text)
	}
}

func planText(r *flow.Where) string {
	if r.PlanVersion == 0 {
		return "plan: none"
	}
	return fmt.Sprintf("plan version %d", r.PlanVersion)
}

func routeText(r *flow.Where) string {
	shares := make([]string, 0, len(r.Route.Shares))
	for _, s := range r.Route.Shares {
		shares = append(shares, s.Service+" "+strconv.FormatFloat(s.Weight, 'g', -1, 64))
	}
	return fmt.Sprintf("route %s: priority %d, objective %s, deadline %s\nservice %s of %s", r.Route.Name, r.Route.Priority,
		limitText(r.Route.ObjectiveMs), limitText(r.Route.DeadlineMs), orDash(r.Service), strings.Join(shares, ", "))
}

func knownText(known *flow.Info) string {
	text := "the entry remembers this flow: " + known.Stage
	if known.Instance != "" {
		text += " at " + known.Instance
	}
	return fmt.Sprintf("%s, last packet %d ms ago", text, known.IdleMs)
}

// printWhereHosts prints the candidates and the hosts that were passed over.
func printWhereHosts(w io.Writer, r *flow.Where) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(r.Candidates) > 0 {
		_, _ = fmt.Fprintln(t, "CANDIDATE\tDATA CENTRE\tSLOTS\tOUTSTANDING\tFLOWS\tSERVICE MS\tREPORTED BUSY\tAGE MS\tEXPECTED WAIT MS")
	}
	for _, h := range r.Candidates {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", h.Instance, h.DataCentre, h.Slots, h.Outstanding, h.Flows,
			numberText(h.ServiceTimeMs), busyText(h.Room), ageText(h.Room), strconv.FormatFloat(h.ExpectedWaitMs, 'f', 1, 64))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(r.PassedOver) > 0 {
		_, _ = fmt.Fprintln(t, "PASSED OVER\tDATA CENTRE\tREASON\tFOR MS\tSLOTS\tOUTSTANDING\tREPORTED BUSY\tAGE MS")
	}
	for _, h := range r.PassedOver {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", h.Instance, h.DataCentre, h.Reason, numberText(h.RefusedForMs), h.Slots,
			h.Outstanding, busyText(h.Room), ageText(h.Room))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(r.PassedOverCounts) > 0 {
		counts := make([]string, 0, len(r.PassedOverCounts))
		for _, reason := range slices.Sorted(maps.Keys(r.PassedOverCounts)) {
			counts = append(counts, fmt.Sprintf("%d %s", r.PassedOverCounts[reason], reason))
		}
		_, _ = fmt.Fprintln(w, "not considered: "+strings.Join(counts, ", "))
	}
	return nil
}

// stepText describes a step with the names that the log has for it.
func stepText(r *flow.Where, i int) string {
	s := &r.Steps[i]
	switch {
	case s.Event == flow.WhereForwarded:
		return fmt.Sprintf("forwarded to=%s in %s: the SYN goes to the holder of the flow, not to a chosen host", s.Instance, s.DataCentre)
	case s.Instance != "":
		return fmt.Sprintf("%s to=%s in %s%s", s.Event, s.Instance, s.DataCentre, choiceText(r, i))
	}
	text := s.Event
	if s.Reason != "" {
		text += " reason=" + s.Reason
	}
	return text + ": " + ruleTexts[s.Rule]
}

// choiceText says why the SYN goes to the step's host.
func choiceText(r *flow.Where, i int) string {
	s := &r.Steps[i]
	text := ""
	if i == 0 && s.DataCentre != r.DataCentre {
		text = ", in another data centre than the entry" + remoteText(r)
	}
	if s.Force {
		text += ", with CodeForce: may wait there for a slot if that leaves time for the objective"
	}
	return text
}

// remoteText says why the first choice is in another data centre.
func remoteText(r *flow.Where) string {
	local := slices.ContainsFunc(r.Candidates, func(h flow.WhereHost) bool { return h.DataCentre == r.DataCentre })
	switch {
	case !local:
		return ", which has no candidate"
	case r.Policy == "leastExpectedWait":
		return ", whose candidates all have a longer expected wait"
	}
	return ""
}

// ruleTexts describes the rules by which a SYN is not sent to a host.
var ruleTexts = map[string]string{
	flow.RuleNoPlan:             "the entry has no plan; SYNs wait for it, 400 ms at most",
	flow.RuleNoMembers:          "the entry does not know the members; SYNs wait for them, 400 ms at most",
	flow.RuleNoRoute:            "the plan has no route at this address; the SYN is dropped",
	flow.RuleNoHost:             "the service has no host that takes new flows, but may soon have one; SYNs wait for it, 400 ms at most",
	flow.RuleEvacuationsUnknown: "the entry does not know yet which data centres are evacuated; SYNs wait until it does, 400 ms at most",
	flow.RuleHoldEnded:          "the flow's SYNs were held for 400 ms, or too many others are; the SYN is dropped",
	flow.RuleHolderLeft:         "the host that the entry remembers for this flow has left; the SYN is dropped",
	flow.RuleNoCandidate:        "no host may take the flow now; it is left to the caller's next copy of the SYN",
	flow.RuleNoDeadline: "the flow is left to the caller's next copy of the SYN; it is not refused at once, because the route has no " +
		"objective or no deadline",
	flow.RuleOtherDeclines: "the flow is left to the caller's next copy of the SYN; a host that got the SYN before has not returned it as busy",
	flow.RuleObjectiveLeft: "the flow is left to the caller's next copy of the SYN, which can still be answered within the objective",
	flow.RuleObjectiveMissed: "the caller gets a reset at once, because no host is expected to answer the next copy of the SYN within the " +
		"objective; a new flow asks other hosts",
	flow.RuleMostTurnedAway: "the flow is left to the caller's next copy of the SYN; it can't meet the objective, but most new flows of the " +
		"route are turned away, so that a reset would not help",
	flow.RuleEvacuated: "the caller gets a reset, because all hosts of the service are in evacuated data centres",
	flow.RuleCold:      "the caller gets a reset, because all hosts of the service are cold and take no more flows now",
}

// whereNotes returns what the operator may not expect of the entry that was asked.
func whereNotes(r *flow.Where) []string {
	var notes []string
	if r.NewestPlan > r.PlanVersion {
		notes = append(notes, fmt.Sprintf("another instance has plan version %d", r.NewestPlan))
	}
	elsewhere := map[string]bool{}
	for _, h := range slices.Concat(r.Candidates, r.PassedOver) {
		if h.DataCentre != r.DataCentre {
			elsewhere[h.DataCentre] = true
		}
	}
	if len(elsewhere) > 0 {
		notes = append(notes, fmt.Sprintf("this entry is in %s; packets of a caller in %s reach entries there, which may choose otherwise",
			r.DataCentre, strings.Join(slices.Sorted(maps.Keys(elsewhere)), " or ")))
	}
	if n := len(r.Steps); n > 0 && r.Steps[n-1].Event == events.FlowUnplaced.Name && r.Steps[n-1].Reason == "silent" {
		notes = append(notes, "callers send copies of a SYN after 200 and 600 ms and give up after 1.4 s; the last copy may wait for a slot even if it misses the objective")
	}
	return notes
}

func limitText(ms float64) string {
	if ms == 0 {
		return "none"
	}
	return strconv.FormatFloat(ms, 'f', -1, 64) + " ms"
}

// numberText returns a number, or "-" for 0, which stands for unknown.
func numberText(x float64) string {
	if x == 0 {
		return "-"
	}
	return strconv.FormatFloat(x, 'f', 1, 64)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func busyText(room *flow.WhereRoom) string {
	if room == nil {
		return "-"
	}
	return fmt.Sprintf("%d of %d", room.Busy, room.Slots)
}

func ageText(room *flow.WhereRoom) string {
	if room == nil {
		return "-"
	}
	return strconv.FormatFloat(room.AgeMs, 'f', 1, 64)
}
