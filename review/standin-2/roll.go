package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 1500 * time.Millisecond
	rollGap      = 1300 * time.Millisecond
	// rollAgents and rollEntries are how many of 9 agents and 5 entries are restarted: a share of 0.45 at most.
	rollAgents   = 4
	rollEntries  = 2
	rollFlows    = 40
	rollRequests = 900 * time.Millisecond
)

func init() {
	cases["roll"] = playRoll
}

// playRoll restarts agents and entries in turn, as planned work, while clients use long flows.
func playRoll(w *world, trouble bool) error {
	services := []string{"dispatch", "dispatch", "dispatch", "dispatch", "dispatch", "dispatch", "inspection", "inspection", "inspection"}
	op, err := w.newOperator()
	if err != nil {
		return err
	}
	if err := op.configure("dispatch", "inspection"); err != nil {
		return err
	}
	if err := w.startSystem(5, services); err != nil {
		return err
	}
	if !w.awaitReady(20 * time.Second) {
		return fmt.Errorf("the entries are not ready")
	}
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	var users sync.WaitGroup
	for i := range rollFlows {
		if i%10 == 0 {
			if _, err := w.addClient(i / 10); err != nil {
				return err
			}
		}
		users.Add(1)
		go func() {
			defer users.Done()
			w.useFlows(w.clients[i/10], i, stop)
		}()
	}
	time.Sleep(3 * time.Second)
	delay := restartDelay
	if text := os.Getenv("RESTART_DELAY"); text != "" {
		if delay, err = time.ParseDuration(text); err != nil {
			return err
		}
	}
	w.note("the planned work begins; processes start again %v after their end", delay)
	if trouble {
		var rolls sync.WaitGroup
		rolls.Add(2)
		go func() {
			defer rolls.Done()
			for _, n := range w.entries[:rollEntries] {
				n.restart(delay)
				time.Sleep(rollGap)
			}
		}()
		go func() {
			defer rolls.Done()
			time.Sleep(400 * time.Millisecond)
			for _, n := range w.sides[:rollAgents] {
				n.restart(delay)
				time.Sleep(rollGap)
			}
		}()
		rolls.Wait()
	} else {
		time.Sleep(15 * time.Second)
	}
	w.note("the planned work has ended")
	time.Sleep(3 * time.Second)
	close(stop)
	users.Wait()
	return nil
}

// useFlows keeps a long flow open and sends a request on it from time to time. After a failure it opens another one.
func (w *world) useFlows(c *client, user int, stop chan struct{}) {
	port := uint16(20000 + user*400)
	var cf *clientFlow
	for n := 0; ; n++ {
		select {
		case <-stop:
			if cf != nil {
				cf.closeFlow()
			}
			return
		case <-time.After(rollRequests):
		}
		if cf != nil && time.Since(cf.opened) > 45*time.Second {
			cf.closeFlow()
			cf = nil
		}
		if cf == nil {
			port++
			cf = c.newFlow(port, route(user%2))
			if result := cf.connect(); result != opened {
				w.note("flow %s: %s", shortID(cf.id), result)
				cf = nil
				continue
			}
		}
		id := fmt.Sprintf("u%d-%d", user, n)
		idle := time.Since(cf.lastUse)
		result := cf.request(id, 4*time.Second)
		if result == served {
			continue
		}
		seen.mutex.Lock()
		h := seen.opened[cf.id]
		seen.mutex.Unlock()
		w.note("request %s on flow %s, open for %.1f s, idle for %.1f s: %s", id, shortID(cf.id), time.Since(cf.opened).Seconds(), idle.Seconds(), result)
		if result == resetSystem && h != nil {
			w.violation("FLOW: the client of flow %s got a reset that the flow's host %s on %s, which lives, did not send; request %s is lost",
				shortID(cf.id), h.id, w.sides[h.index].name, id)
		}
		cf = nil
	}
}
