package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	portStoreProxy = 18168
	// configApply is the site's configApplyMs.
	configApply = 3 * time.Second
)

func init() {
	cases["silent"] = playSilent
}

// storeProxy passes connections on to the store. Those that are open when it falls silent carry nothing any more, without a
// reset; new ones work.
type storeProxy struct {
	generation atomic.Int64
	// watches counts the watches of the configuration that have begun.
	watches atomic.Int64
}

func (w *world) startStoreProxy() (*storeProxy, error) {
	listener, err := net.Listen("tcp4", w.address(hostStore, portStoreProxy).String())
	if err != nil {
		return nil, err
	}
	p := &storeProxy{}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(c, w.address(hostStore, portControl).String())
		}
	}()
	return p, nil
}

func (p *storeProxy) serve(near net.Conn, store string) {
	born := p.generation.Load()
	far, err := net.Dial("tcp4", store)
	if err != nil {
		_ = near.Close()
		return
	}
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if p.generation.Load() != born {
				_, _ = io.Copy(io.Discard, from)
				return
			}
			if bytes.HasPrefix(buffer[:n], []byte("GET /objects/config?")) && bytes.Contains(buffer[:n], []byte("watch=")) {
				p.watches.Add(1)
			}
			if n > 0 {
				_, _ = to.Write(buffer[:n])
			}
			if err != nil {
				_ = to.Close()
				return
			}
		}
	}
	go pass(far, near)
	pass(near, far)
}

// playSilent drops a route just after all open connections to the store have gone silent.
func playSilent(w *world, trouble bool) error {
	proxy, err := w.startStoreProxy()
	if err != nil {
		return err
	}
	w.storePort = portStoreProxy
	op, err := w.newOperator()
	if err != nil {
		return err
	}
	if err := op.configure("dispatch", "inspection"); err != nil {
		return err
	}
	if err := w.startSystem(3, []string{"dispatch", "dispatch", "inspection", "inspection"}); err != nil {
		return err
	}
	if !w.awaitReady(20 * time.Second) {
		return fmt.Errorf("the entries are not ready")
	}
	time.Sleep(2*stableWindow + 2*time.Second)
	// All entries watch the plan, and begin a new watch after each version.
	proxy.watches.Store(0)
	if err := op.configure("dispatch", "inspection"); err != nil {
		return err
	}
	w.note("the store has acknowledged version %d, which changes nothing else", op.version)
	for end := time.Now().Add(time.Second); proxy.watches.Load() < int64(len(w.entries)) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * storeAnswer)
	quiet := time.Now()
	if trouble {
		proxy.generation.Add(1)
		w.note("all open connections to the store go silent; new ones work")
	}
	if err := op.configure("dispatch"); err != nil {
		return err
	}
	acked := time.Now()
	w.note("the store has acknowledged version %d, which drops the route of inspection", op.version)
	bound := acked.Add(configApply)
	if touch := quiet.Add(stableWindow); trouble && touch.After(bound) {
		bound = touch
	}
	var users sync.WaitGroup
	var late atomic.Int64
	for i := range 12 {
		c, err := w.addClient(i)
		if err != nil {
			return err
		}
		users.Add(1)
		go func() {
			defer users.Done()
			w.useDroppedRoute(c, i, bound, &late)
		}()
	}
	users.Wait()
	if n := late.Load(); n > 0 {
		w.violation("CONFIG: %d flows on a dropped route were opened and their requests run later than %v after the acknowledgement and %v after the last disturbance",
			n, configApply, stableWindow)
	}
	return nil
}

// useDroppedRoute opens flows on the dropped route until some time after the bound.
func (w *world) useDroppedRoute(c *client, user int, bound time.Time, late *atomic.Int64) {
	for n := 0; time.Now().Before(bound.Add(3 * time.Second)); n++ {
		cf := c.newFlow(uint16(10000+n), route(1))
		sent := time.Now()
		if cf.connectOnce(300*time.Millisecond) != opened {
			continue
		}
		id := fmt.Sprintf("d%d-%d", user, n)
		if cf.request(id, time.Second) == served && sent.After(bound) {
			late.Add(1)
			w.note("request %s: its flow was opened %.3f s after the bound", id, sent.Sub(bound).Seconds())
		}
		cf.closeFlow()
		time.Sleep(30 * time.Millisecond)
	}
}
