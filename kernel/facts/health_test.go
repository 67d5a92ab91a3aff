package facts

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a call of the store, which is billed, for each change of a host's health, and against a change of
// anything else that is not written.
func TestEqualExceptHealth(t *testing.T) {
	encode := func(m Member) Fact {
		f, err := m.Fact(1, 1)
		require.NoError(t, err)
		return f
	}
	m := Member{Instance: "a", State: StateServing, Target: &Target{ID: "t", Slots: 2}}
	sick, draining := m, m
	sick.Health = &Health{Failing: 40}
	draining.Target = &Target{ID: "t", Slots: 2, State: TargetDraining}
	require.True(t, EqualExceptHealth(encode(m), encode(sick)))
	require.False(t, EqualExceptHealth(encode(sick), encode(draining)))
	require.False(t, EqualExceptHealth(encode(m), Fact{}))
}
