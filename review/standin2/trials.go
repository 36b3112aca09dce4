package main

import (
	"fmt"
	"strings"
	"time"
)

// The case trials: a part of a prompt crashes each runner that begins to write an answer on it, and the prompts have many parts, as
// those of long sessions.

const (
	trialsGateways = 6
	trialsParts    = 70
	trialsTime     = 50 * time.Second
	trialsDeadly   = 125 * time.Millisecond
	trialsOther    = 50 * time.Millisecond
	// trialsAllowed is how many requests with the deadly part may reach runners later than a window after the fifth crash.
	trialsAllowed = 3
)

func playTrials(e *environment, trouble bool) (bool, error) {
	p := &poison{environment: e, begun: map[string]bool{}}
	if err := p.start(p.chunkedAnswer, trialsGateways); err != nil {
		return false, err
	}
	var shared []string
	for i := range trialsParts {
		shared = append(shared, fmt.Sprintf("5c1e%04x:20", i))
	}
	shared[trialsParts/2] = poisonPart + ":20"
	var rest tally
	always := func() time.Time { return time.Time{} }
	end := time.Now().Add(trialsTime)
	if trouble {
		go p.sendMany(end, trialsDeadly, func(int) { p.sendOne("deadly", "key-one", strings.Join(shared, ","), &rest, always) })
	}
	p.sendMany(end, trialsOther, func(i int) { p.sendOne("other", "key-two", fmt.Sprintf("77aa%04x:800", i%otherParts), &rest, always) })
	p.mu.Lock()
	defer p.mu.Unlock()
	text := fmt.Sprintf("%d crashes; %d requests with the deadly part reached runners later than %s after the fifth crash", len(p.crashes), p.late, stable)
	p.rec.add("%s", text)
	fmt.Println(text)
	return p.late <= trialsAllowed, nil
}
