// Standin holds the stand-ins of clients, hosts and the platform, and the cases of the review that are scripts.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases maps the name of a case to the function that plays it. It returns whether the rule was broken.
var cases = map[string]func(s *site, trouble bool) (bool, error){
	"drain-after-clock-step": drainAfterClockStep,
}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "host" {
		if err := runHost(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns 1 if the rule was broken, 0 if it held and 2 if the case could not run.
func play(name, folder string) int {
	s, err := newSite(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		s.close()
		os.Exit(2)
	}()
	broken, err := cases[name](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.add("script", "could not run: %v", err)
		return 2
	case broken:
		s.add("script", "RULE BROKEN")
		return 1
	}
	s.add("script", "the rule held")
	return 0
}
