package store

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// planLimit is the platform's limit on the time from the acknowledgement of a plan until it is in force, on small sites.
const planLimit = 3 * time.Second

// silentListener accepts connections that silence makes fall silent for good, without a reset.
type silentListener struct {
	net.Listener

	mutex  sync.Mutex
	silent chan struct{}
}

// silence makes the open connections silent. Later ones work.
func (l *silentListener) silence() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.silent)
	l.silent = make(chan struct{})
}

func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return &silentConn{Conn: conn, silent: l.silent}, nil
}

type silentConn struct {
	net.Conn
	silent <-chan struct{}
}

func (c *silentConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read passes on nothing that arrives once the connection is silent.
func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Guards against a plan that is in force too late (CONFIG, review/9): all open connections to the store fall silent just before
// the plan is written, at different times after a watch began. The entry has a second, idle connection, which must not
// delay the listing that follows the watch.
func TestSilentConnectionsDoNotDelayAPlan(t *testing.T) {
	for _, afterWatch := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(afterWatch.String(), func(t *testing.T) {
			t.Parallel()
			watches := make(chan struct{}, 1000)
			s := &testStore{}
			handler := s.server.Handler()
			inner, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			l := &silentListener{Listener: inner, silent: make(chan struct{})}
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Query().Has("watch") {
					watches <- struct{}{}
				}
				handler.ServeHTTP(w, r)
			}))
			server.Listener = l
			server.Start()
			t.Cleanup(func() {
				l.silence()
				server.CloseClientConnections()
				server.Close()
			})
			s.url = server.URL
			s.putPlan(t, 3)
			e := startInstance(t, s, "entry", facts.RoleEntry, freeAddress(t))
			other := startInstance(t, s, "other", facts.RoleEntry, freeAddress(t), e.node.Self.Control)
			eventually(t, "plan", func() bool {
				return e.node.Plans.Version() == 3 && other.node.Plans.Version() == 3 && e.seesServing("other") && other.seesServing("entry")
			})
			// Entries whose peers answer make no calls but the watch, and their other connections stay idle.
			time.Sleep(time.Second)
			for len(watches) > 0 {
				<-watches
			}
			<-watches
			time.Sleep(afterWatch)
			l.silence()
			s.putPlan(t, 4)
			written := time.Now()
			require.Eventually(t, func() bool { return e.node.Plans.Version() == 4 }, planLimit, time.Millisecond)
			t.Logf("in force after %s", time.Since(written))
			_, err = s.client(t).List(context.Background(), "plans", false)
			require.NoError(t, err)
		})
	}
}
