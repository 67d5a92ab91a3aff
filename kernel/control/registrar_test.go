package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// Guards against an object that stays lost, or is written without end, because of what peers say of the store's era: each
// report leads to one write, and a wrong one does not hide a right one after it.
func TestReportedReturnLeadsToOneWrite(t *testing.T) {
	r := &Registrar{Store: &store.Client{}}
	r.prepare()
	write := func(era uint64) { r.settle(era, r.returns.reported.Load()) }
	r.returns.ObserveEra(7)
	require.False(t, r.mayBeLost(), "nothing was written yet")
	write(1)
	require.False(t, r.mayBeLost())
	r.returns.ObserveEra(1 << 60)
	require.True(t, r.mayBeLost())
	write(1)
	r.returns.ObserveEra(1 << 60)
	require.False(t, r.mayBeLost(), "the store did not confirm the report")
	r.returns.ObserveEra(2)
	require.True(t, r.mayBeLost())
	write(2)
	require.False(t, r.mayBeLost())
}
