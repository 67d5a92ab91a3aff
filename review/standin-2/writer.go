package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// drainedFor is how long the draining host serves after its acknowledgement.
const drainedFor = 10 * time.Second

func init() {
	cases["writer"] = playWriter
}

// playWriter drains a host, and sends its agent one heartbeat of another writer, in which fields are missing.
func playWriter(w *world, trouble bool) error {
	services := []string{"dispatch", "dispatch", "dispatch", "dispatch", "inspection", "inspection"}
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
	stop := make(chan struct{})
	var users sync.WaitGroup
	for i := range 6 {
		c, err := w.addClient(i)
		if err != nil {
			return err
		}
		users.Add(1)
		go func() {
			defer users.Done()
			w.useFreshFlows(c, i, stop)
		}()
	}
	time.Sleep(2 * time.Second)
	h := w.hosts[0]
	h.drain()
	for end := time.Now().Add(5 * time.Second); h.ackedAt().IsZero() && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	acked := h.ackedAt()
	if acked.IsZero() {
		return fmt.Errorf("the draining host got no acknowledgement")
	}
	time.Sleep(time.Second)
	if trouble {
		if err := w.strangeHeartbeat(h); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(acked.Add(drainedFor)))
	close(stop)
	users.Wait()
	seen.mutex.Lock()
	late, total := 0, 0
	var first openingPacket
	for _, s := range seen.syns {
		if s.host != h || seen.opened[s.flow] != h {
			continue
		}
		total++
		if s.at.After(acked.Add(drainTime)) {
			if late++; late == 1 {
				first = s
			}
		}
	}
	seen.mutex.Unlock()
	w.note("host %s took %d flows, %d of them later than %v after the acknowledgement", h.id, total, late, drainTime)
	if total == 0 {
		return fmt.Errorf("the host took no flow before it drained")
	}
	if late > 0 {
		w.violation("DRAIN: %d flows with requests reached the draining host %s later than %v after its agent had acknowledged, the first (%s) %.2f s after",
			late, h.id, drainTime, shortID(first.flow), first.at.Sub(acked).Seconds())
	}
	return nil
}

func (h *host) ackedAt() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.drainAcked
}

// strangeHeartbeat sends the host's agent a heartbeat of another writer: zone, version and warmupLeftMs are missing.
func (w *world) strangeHeartbeat(h *host) error {
	body, err := json.Marshal(map[string]any{
		"service": h.service, "address": w.address(h.machine, portApp).String(), "slots": 1, "state": facts.TargetReady, "sequence": 1,
		"born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	url := "http://" + w.address(h.machine, portControl).String() + "/Instances.Heartbeat/another-writer"
	response, err := (&http.Client{Timeout: time.Second}).Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	w.note("a heartbeat of another writer, without zone, version and warmupLeftMs, reaches the agent of %s: %s; answered with %d", h.id, body, response.StatusCode)
	return nil
}

// useFreshFlows opens a flow for each request.
func (w *world) useFreshFlows(c *client, user int, stop chan struct{}) {
	results := map[outcome]int{}
	for n := 0; ; n++ {
		select {
		case <-stop:
			w.note("client %d: %v", user, results)
			return
		case <-time.After(40 * time.Millisecond):
		}
		cf := c.newFlow(uint16(10000+n), route(user%2))
		result := cf.connect()
		if result == opened {
			result = cf.request(fmt.Sprintf("w%d-%d", user, n), 4*time.Second)
			cf.closeFlow()
		}
		results[result]++
	}
}
