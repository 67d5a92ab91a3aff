package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/coltsfootline/timeline"
	"github.com/coltsfootline/coltsfootline/kernel/command"
)

// NotLoggedError reports that no log record names a request or flow.
type NotLoggedError struct {
	// Subject names the request or flow, such as "request 992d68eade8f7150".
	Subject string
}

// Error returns a message that also says how to find a request that no agent received.
func (e *NotLoggedError) Error() string {
	return "no log record names " + e.Subject + "; to find a request that no agent received, specify its caller with --flow ADDRESS:PORT"
}

// MissingRequestError reports that neither a request ID nor --flow is given.
type MissingRequestError struct{}

// Error returns a message with the expected arguments.
func (*MissingRequestError) Error() string {
	return "a request ID or --flow is required"
}

type explainCmd struct {
	// flow is a flow or a caller's address and port. If it is set, all arguments are file names.
	flow string
	json bool
}

func newExplainCmd() *cobra.Command {
	e := &explainCmd{}
	cmd := &cobra.Command{
		Use:   "explain REQUEST-ID [FILE]...",
		Short: "Tell from logs what happened to a request",
		Long: "Reads the logs of entries and agents, from files or from standard input, and prints the decisions about the\n" +
			"request's flow in order of time, what happened to the instances involved, and the likely cause.\n" +
			"With --flow the caller's address and port stand for a request that no agent saw.",
		RunE: e.runExplain,
	}
	cmd.Flags().StringVar(&e.flow, "flow", "", "caller's address:port; then no REQUEST-ID is given")
	cmd.Flags().BoolVar(&e.json, "json", false, "print JSON")
	return cmd
}

func (e *explainCmd) runExplain(cmd *cobra.Command, arguments []string) error {
	id := ""
	if e.flow == "" {
		if len(arguments) == 0 {
			return errors.WithStack(&command.UsageError{Cause: &MissingRequestError{}})
		}
		id, arguments = arguments[0], arguments[1:]
	}
	logs, err := readLogs(cmd.InOrStdin(), arguments)
	if err != nil {
		return err
	}
	t, ok := logs.OfFlow(e.flow)
	subject := "flow " + e.flow
	if id != "" {
		t, ok = logs.OfRequest(id)
		subject = "request " + id
	}
	if !ok {
		return errors.WithStack(&NotLoggedError{Subject: subject})
	}
	if e.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(t)
	}
	return printTimeline(cmd.OutOrStdout(), t)
}

// readLogs reads the named log files, or in if no file is named.
func readLogs(in io.Reader, files []string) (*timeline.Logs, error) {
	logs := &timeline.Logs{}
	if len(files) == 0 {
		return logs, errors.WithStack(logs.Read(in))
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		err = logs.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
	}
	return logs, nil
}

// printTimeline prints the flows, the records in a table, and the cause.
func printTimeline(w io.Writer, t *timeline.Timeline) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, f := range t.Flows {
		_, _ = fmt.Fprintf(table, "flow %s\n", f)
	}
	for _, r := range t.Records {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", r.Time.UTC().Format("15:04:05.000"), r.Instance, r.EventName, details(r))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if t.Cause.Incomplete {
		_, _ = fmt.Fprintln(w, "some records were left out (recordsLeftOut): a missing line proves nothing")
	}
	_, err := fmt.Fprintf(w, "%s: %s\n", t.Cause.Outcome, t.Cause.Text)
	return err
}

// details formats the nonzero fields of a record as name=value pairs with their names in logs.
func details(r timeline.Record) string {
	var parts []string
	add := func(name, value string) {
		if value != "" && value != "0" {
			parts = append(parts, name+"="+value)
		}
	}
	add("request", r.Request)
	add("to", r.To)
	add("reason", r.Reason)
	add("target", r.Target)
	add("state", r.State)
	add("member", r.Member)
	add("dependency", r.Dependency)
	add("of", r.SuppressedEvent)
	add("count", fmt.Sprint(r.Count))
	add("ageMs", fmt.Sprint(r.AgeMs))
	add("bornMs", fmt.Sprint(r.TargetStartedMs))
	add("planVersion", fmt.Sprint(r.PlanVersion))
	add("error", r.Error)
	return strings.Join(parts, " ")
}
