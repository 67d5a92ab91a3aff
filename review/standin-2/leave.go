package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

const (
	// leaveHeldFor is how long a cut holds up the call with which a host leaves.
	leaveHeldFor = 5500 * time.Millisecond
	// unackedExit is how long a host that gets no acknowledgement of its leave waits before it exits.
	unackedExit = 2 * time.Second
	// hostStart is the time from a host's exit to its next start.
	hostStart  = 500 * time.Millisecond
	leaveFlows = 24
	leaveThink = 8 * time.Second
)

func init() {
	cases["leave"] = playLeave
}

// playLeave restarts a host under the id that it had. The call with which the earlier incarnation leaves is held up, and
// arrives after the new incarnation has registered.
func playLeave(w *world, trouble bool) error {
	services := []string{"dispatch", "dispatch", "dispatch", "inspection", "inspection"}
	op, err := w.newOperator()
	if err != nil {
		return err
	}
	if err := op.configure("dispatch", "inspection"); err != nil {
		return err
	}
	if err := w.startSystem(3, services); err != nil {
		return err
	}
	if !w.awaitReady(20 * time.Second) {
		return fmt.Errorf("the entries are not ready")
	}
	time.Sleep(2 * stableWindow)
	h := w.hosts[0]
	h.drain()
	for end := time.Now().Add(5 * time.Second); h.ackedAt().IsZero() && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	if h.ackedAt().IsZero() {
		return fmt.Errorf("the draining host got no acknowledgement")
	}
	time.Sleep(drainTime + 500*time.Millisecond)
	arrived, born := time.Now(), h.born
	if trouble {
		w.note("host %s calls to leave; the call is held up", h.id)
		time.AfterFunc(leaveHeldFor, func() { w.leave(h, born) })
		arrived = arrived.Add(leaveHeldFor)
		time.Sleep(unackedExit)
	} else {
		w.leave(h, born)
	}
	h.exit()
	time.Sleep(hostStart)
	h.startAgain()
	var users sync.WaitGroup
	for i := range leaveFlows {
		if i%8 == 0 {
			if _, err := w.addClient(i / 8); err != nil {
				return err
			}
		}
		users.Add(1)
		go func() {
			defer users.Done()
			time.Sleep(time.Second + time.Duration(i)*50*time.Millisecond)
			w.useLongFlow(w.clients[i/8], i, arrived)
		}()
	}
	users.Wait()
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	held := 0
	for _, o := range seen.opened {
		if o == h {
			held++
		}
	}
	w.note("the new incarnation of host %s took %d flows", h.id, held)
	if held == 0 {
		return fmt.Errorf("the new incarnation took no flow")
	}
	return nil
}

// leave sends the call with which the incarnation of a host that was born at the given time leaves to its agent.
func (w *world) leave(h *host, born int64) {
	url := "http://" + w.address(h.machine, portControl).String() + "/Instances.Deregister/" + h.id
	response, err := (&http.Client{Timeout: time.Second}).Post(url, "application/json", strings.NewReader(fmt.Sprintf(`{"born":%d}`, born)))
	if err != nil {
		w.note("the call of host %s to leave failed: %v", h.id, err)
		return
	}
	_ = response.Body.Close()
	w.note("the call to leave of host %s, born %d, arrives at its agent; answered with %d", h.id, born, response.StatusCode)
}

// exit ends the host's process, and startAgain starts it under the same id.
func (h *host) exit() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.down, h.flows = true, map[flowID]*hostFlow{}
	_ = h.listener.Close()
	h.world.note("host %s, born %d, exits", h.id, h.born)
}

func (h *host) startAgain() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.down, h.state, h.sequence, h.born, h.drainAcked = false, facts.TargetReady, 0, time.Now().UnixMilli(), time.Time{}
	if err := h.listen(); err != nil {
		h.world.fail("host " + h.id + ": " + err.Error())
	}
	go h.heartbeat(&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}})
	h.world.note("host %s starts again under its id, born %d", h.id, h.born)
}

// useLongFlow opens a flow, and sends a request at once and another one after leaveThink. last is when the last message
// that was held up arrived.
func (w *world) useLongFlow(c *client, user int, last time.Time) {
	cf := c.newFlow(uint16(30000+user), route(0))
	result := cf.connect()
	if result == opened {
		result = cf.request(fmt.Sprintf("l%d-1", user), 4*time.Second)
	}
	if result != served {
		w.note("flow %s: %s", shortID(cf.id), result)
		return
	}
	time.Sleep(leaveThink)
	result = cf.request(fmt.Sprintf("l%d-2", user), 4*time.Second)
	seen.mutex.Lock()
	h := seen.opened[cf.id]
	seen.mutex.Unlock()
	w.note("flow %s at host %s, open for %.1f s: %s", shortID(cf.id), h.id, time.Since(cf.opened).Seconds(), result)
	if quiet := time.Since(last); result == resetSystem && quiet > stableWindow {
		w.violation("FLOW: the client of flow %s got a reset that the flow's host %s, which lives and serves, did not send, %.1f s after the last held-up message",
			shortID(cf.id), h.id, quiet.Seconds())
	}
	cf.closeFlow()
}
