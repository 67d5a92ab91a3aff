package plan

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// smallRoutes and largeRoutes are the routes before and after the operator adds 1,400.
const smallRoutes, largeRoutes = 50, 1450

// testPlan returns a plan. The names, ports and services vary as in a plan that compresses badly.
func testPlan(version uint64, routes int) *Plan {
	p := &Plan{Version: version, IdleTimeout: 15 * time.Second}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range routes {
		p.Routes = append(p.Routes, Route{
			Name:    fmt.Sprintf("route-%06x", random.Uint32()>>8),
			Address: gue.Endpoint{Address: [4]byte{198, 18, byte(i >> 8), byte(i)}, Port: uint16(1024 + random.IntN(60000))},
			Shares:  []Share{{Service: fmt.Sprint("service-", random.IntN(20)), Weight: 1}}, Objective: 200 * time.Millisecond,
		})
	}
	p.Index()
	return p
}

func applyUpdate(t *testing.T, base, next, used *Plan) (*Plan, bool, error) {
	t.Helper()
	update, difference, err := EncodeUpdate(base, next, nil)
	require.NoError(t, err)
	result, err := DecodeUpdate(bytes.NewReader(update), used, nil)
	return result, difference, err
}

// Guards against a difference whose result differs from the plan that it was made for, with routes that are added,
// changed, removed and at an address that the plan has twice.
func TestUpdateTurnsOnePlanIntoAnother(t *testing.T) {
	base, next := testPlan(1, 300), testPlan(2, 310)
	base.Routes = append(base.Routes, Route{Name: "second", Address: base.Routes[7].Address})
	base.Index()
	next.Routes[3].Shares = []Share{{Service: "x", Weight: 1}, {Service: "y", Weight: 2}}
	next.Routes = append(next.Routes[:20], next.Routes[25:]...)
	next.IdleTimeout = time.Second
	next.Index()
	for _, b := range []*Plan{nil, base} {
		result, difference, err := applyUpdate(t, b, next, base)
		require.NoError(t, err)
		require.Equal(t, b != nil, difference)
		d := Compare(result, next)
		require.True(t, d.Empty())
		require.Equal(t, next.Version, result.Version)
		require.Equal(t, "x", result.Find(next.Routes[3].Address).Shares[0].Service)
	}
}

// Guards against a difference that is applied to a plan of another version, or to one of the same version that lacks what
// an older build does not know.
func TestDifferenceThatDoesNotApplyIsRefused(t *testing.T) {
	base, next := testPlan(1, 100), testPlan(2, 101)
	stripped := testPlan(1, 100)
	stripped.Routes[50].Objective = 0
	var refusal *NotApplicableError
	for _, used := range []*Plan{nil, testPlan(3, 100), stripped} {
		_, difference, err := applyUpdate(t, base, next, used)
		require.True(t, difference)
		require.True(t, errors.As(err, &refusal), "%v", err)
	}
	var invalid *UpdateError
	update, _, err := EncodeUpdate(nil, next, nil)
	require.NoError(t, err)
	_, err = DecodeUpdate(bytes.NewReader(update[:len(update)/2]), nil, nil)
	require.True(t, errors.As(err, &invalid), "%v", err)
}

// Guards against a field of Route that Equal leaves out.
func TestRouteEqualCoversEachField(t *testing.T) {
	for i := range reflect.TypeFor[Route]().NumField() {
		var a, b Route
		require.True(t, a.Equal(&b))
		v := reflect.ValueOf(&b).Elem().Field(i)
		switch v.Kind() {
		case reflect.String:
			v.SetString("x")
		case reflect.Slice:
			v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		case reflect.Struct:
			v.Field(v.NumField() - 1).SetUint(1)
		case reflect.Float64:
			v.SetFloat(1)
		case reflect.Bool:
			v.SetBool(true)
		case reflect.Int, reflect.Int64:
			v.SetInt(1)
		default:
			t.Fatalf("field %s has a kind that the test does not set", reflect.TypeFor[Route]().Field(i).Name)
		}
		require.False(t, a.Equal(&b), reflect.TypeFor[Route]().Field(i).Name)
	}
}

// Guards against an update that is not much smaller than the plan, and against work that does not pause.
func TestLargeUpdateIsSmallAndPauses(t *testing.T) {
	base, next := testPlan(1, smallRoutes), testPlan(2, largeRoutes)
	whole, err := json.Marshal(next)
	require.NoError(t, err)
	var steps Steps
	update, difference, err := EncodeUpdate(base, next, &steps)
	require.NoError(t, err)
	require.True(t, difference)
	require.Less(t, len(update), len(whole)/7)
	require.Positive(t, steps.Pauses)
	steps = Steps{}
	_, err = DecodeUpdate(bytes.NewReader(update), base, &steps)
	require.NoError(t, err)
	require.GreaterOrEqual(t, steps.Pauses, 4)
	next.Routes[9].Name = "changed"
	small, _, err := EncodeUpdate(testPlan(1, largeRoutes), next, nil)
	require.NoError(t, err)
	require.Less(t, len(small), 400)
	t.Logf("plan of %d routes: %d bytes as JSON, %d as a compressed difference; one changed route: %d bytes",
		largeRoutes, len(whole), len(update), len(small))
}

func BenchmarkPlanJSON(b *testing.B) {
	p := testPlan(2, largeRoutes)
	text, err := json.Marshal(p)
	require.NoError(b, err)
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			_, _ = json.Marshal(p)
		}
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			_ = json.Unmarshal(text, &Plan{})
		}
	})
	b.Run("index", func(b *testing.B) {
		for b.Loop() {
			p.Index()
		}
	})
	b.ReportMetric(float64(len(text)), "bytes")
}

func BenchmarkUpdate(b *testing.B) {
	small, large, other := testPlan(1, smallRoutes), testPlan(2, largeRoutes), testPlan(1, largeRoutes)
	other.Routes[9].Name = "changed"
	for _, c := range []struct {
		name       string
		base, next *Plan
	}{{"whole", nil, large}, {"addMany", small, large}, {"changeOne", other, large}} {
		update, _, err := EncodeUpdate(c.base, c.next, nil)
		require.NoError(b, err)
		b.Run("encode/"+c.name, func(b *testing.B) {
			for b.Loop() {
				_, _, _ = EncodeUpdate(c.base, c.next, nil)
			}
			b.ReportMetric(float64(len(update)), "bytes")
		})
		b.Run("decode/"+c.name, func(b *testing.B) {
			for b.Loop() {
				_, _ = DecodeUpdate(bytes.NewReader(update), c.base, nil)
			}
		})
		b.Run("compare/"+c.name, func(b *testing.B) {
			for b.Loop() {
				Compare(c.base, c.next)
			}
		})
	}
}

// FuzzDecodeUpdate checks that an update from a peer does not stop the process whatever it contains.
func FuzzDecodeUpdate(f *testing.F) {
	update, _, err := EncodeUpdate(nil, testPlan(1, 2), nil)
	require.NoError(f, err)
	f.Add(update)
	f.Add([]byte(`{"count":-1,"base":1}{}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = DecodeUpdate(bytes.NewReader(data), testPlan(1, 2), nil)
		var compressed bytes.Buffer
		w, _ := flate.NewWriter(&compressed, flate.BestSpeed)
		_, _ = w.Write(data)
		_ = w.Close()
		_, _ = DecodeUpdate(&compressed, testPlan(1, 2), nil)
	})
}
