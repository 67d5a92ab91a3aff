// Package cmd implements the operator's command line.
package cmd

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/coltsfootline/coltsfootline/kernel/command"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
)

// callTimeout limits each call to an instance.
const callTimeout = 5 * time.Second

// ControlClient calls control methods of instances. peer.Pool implements it.
type ControlClient interface {
	Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// Main runs the command line and returns the exit code.
func Main(arguments []string, out, errorOut io.Writer) int {
	pool := &peer.Pool{}
	defer pool.Close()
	return command.Execute(newRoot(pool), arguments, out, errorOut)
}

func newRoot(c ControlClient) *cobra.Command {
	root := command.NewRoot("coltsfootline", "Operate a coltsfootline installation",
		"The operator's command line. It speaks to any entry's control address.\n\n"+
			"Exit codes: 0 done, 1 failed, 2 faulty arguments or settings.")
	root.AddCommand(
		newStatusCmd(c),
		newPlanCmd(c),
		newHostsCmd(c),
		newEvacuationsCmd(c),
		newFlowsCmd(c),
		newWhereCmd(c),
		newDrainCmd(c),
		newDoctorCmd(c),
		newExplainCmd(),
		command.NewVersionCmd("coltsfootline"),
	)
	return root
}

// AddressError reports a flag whose value is not an IPv4 address with a port.
type AddressError struct {
	Flag  string
	Value string
}

// Error returns a message with the flag and its value.
func (e *AddressError) Error() string {
	return "--" + e.Flag + " " + e.Value + ": expected IPv4 address:port"
}

// entryFlag is the --entry flag, the control address of the entry that a command calls. The default is the local entry.
type entryFlag struct {
	text string
}

func (f *entryFlag) add(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&f.text, "entry", "e", "127.0.0.1:7100", "control address of an entry")
}

// address returns the flag's value, or a UsageError if it is not an IPv4 address with a nonzero port.
func (f *entryFlag) address() (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(f.text)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		return netip.AddrPort{}, errors.WithStack(&command.UsageError{Cause: &AddressError{Flag: "entry", Value: f.text}})
	}
	return a, nil
}

// fetchFacts calls an entry for all facts.
func fetchFacts(ctx context.Context, c ControlClient, entry netip.AddrPort) ([]facts.Fact, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply peer.ReconcileReply
	if err := c.Call(ctx, entry, peer.MethodReconcile, peer.ReconcileRequest{Partitions: facts.AllPartitions()}, &reply); err != nil {
		return nil, err
	}
	return reply.Facts, nil
}

// fetchMembers calls an entry for all facts and returns the members among them.
func fetchMembers(ctx context.Context, c ControlClient, entry netip.AddrPort) ([]facts.Member, error) {
	received, err := fetchFacts(ctx, c, entry)
	if err != nil {
		return nil, err
	}
	return decodeMembers(received)
}

// decodeMembers returns the members among the facts.
func decodeMembers(received []facts.Fact) ([]facts.Member, error) {
	var all []facts.Member
	for _, f := range received {
		if f.Kind != facts.KindMember {
			continue
		}
		m, err := facts.DecodeMember(f)
		if err != nil {
			return nil, err
		}
		all = append(all, m)
	}
	return all, nil
}
