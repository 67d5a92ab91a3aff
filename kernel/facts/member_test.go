package facts

import (
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// Guards against traffic to what another writer has put among the objects of instances: unknown states, numbers and ports
// that no instance publishes, versions that nothing can supersede.
func TestCheckRefusesWhatNoInstancePublishes(t *testing.T) {
	valid := func() Member {
		return Member{
			Instance: "a", Role: RoleAgent, State: StateServing, Packets: netip.MustParseAddrPort("10.0.0.1:7"),
			Control: netip.MustParseAddrPort("10.0.0.1:8"), Target: &Target{State: TargetReady, Slots: 4},
		}
	}
	require.NoError(t, valid().Check())
	for field, change := range map[string]func(m *Member){
		"role":         func(m *Member) { m.Role = "third" },
		"state":        func(m *Member) { m.State = "resting" },
		"packets":      func(m *Member) { m.Packets = netip.MustParseAddrPort("10.0.0.1:0") },
		"control":      func(m *Member) { m.Control = netip.AddrPort{} },
		"target.state": func(m *Member) { m.Target.State = "" },
		"target.slots": func(m *Member) { m.Target.Slots = 1 << 40 },
	} {
		m := valid()
		change(&m)
		var invalid *InvalidMemberError
		require.True(t, errors.As(m.Check(), &invalid), field)
		require.Equal(t, field, invalid.Field)
	}
	now := time.Unix(1_800_000_000, 0)
	f, err := valid().Fact(uint64(now.Add(2*time.Hour).UnixNano()), 3)
	require.NoError(t, err)
	require.NoError(t, f.Check(now), "the clock of the other instance is ahead")
	f.Version = 1<<64 - 1
	require.Error(t, f.Check(now))
	f, err = valid().Fact(uint64(now.Add(365*24*time.Hour).UnixNano()), 3)
	require.NoError(t, err)
	require.Error(t, f.Check(now))
}
