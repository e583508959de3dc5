package chooser_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/chooser"
)

func pool(n int) []masticway.Server {
	servers := make([]masticway.Server, n)
	for i := range servers {
		servers[i] = masticway.Server{ID: fmt.Sprintf("i-%d", i), Zone: "z"}
	}
	return servers
}

func chat(session string) chooser.Prompt {
	return chooser.Prompt{Tokens: 7000, Zone: "z", Parts: []masticway.PromptPart{
		{ID: "template", Tokens: 2000}, {ID: session, Tokens: 4000}, {ID: "own-" + session, Tokens: 1000},
	}}
}

var opening = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

func TestRoutersAgreeOnASessionsHomeWithoutAWord(t *testing.T) {
	servers := pool(9)
	homes := map[int]int{}
	for i := range 90 {
		session := fmt.Sprintf("s%d", i)
		first, _ := chooser.NewServers().Choose(opening, true, chat(session), servers)
		second, _ := chooser.NewServers().Choose(opening, true, chat(session), servers)
		qt.Assert(t, second, qt.Equals, first)
		homes[first]++
	}
	qt.Assert(t, len(homes), qt.Equals, 9, qt.Commentf("homes are not spread: %v", homes))
}

func TestBusyHomeIsLeft(t *testing.T) {
	s, servers := chooser.NewServers(), pool(9)
	home, _ := s.Choose(opening, true, chat("s"), servers)
	for i := range 12 {
		s.Sent(opening, chat(fmt.Sprintf("other%d", i)), servers[home].ID)
	}
	next, _ := s.Choose(opening, true, chat("s"), servers)
	qt.Assert(t, next, qt.Not(qt.Equals), home)
}

func TestUnreachedServerIsPassedOverForAWhile(t *testing.T) {
	s, servers := chooser.NewServers(), pool(2)
	p := s.Sent(opening, chooser.Prompt{}, servers[0].ID)
	s.Ended(opening, p, chooser.VerdictUnreached)
	for range 4 {
		i, _ := s.Choose(opening.Add(100*time.Millisecond), false, chooser.Prompt{Zone: "z"}, servers)
		qt.Assert(t, i, qt.Equals, 1)
	}
}

func TestGreyServerIsSuspectAndAPoolThatFailsAlikeIsNot(t *testing.T) {
	cases := map[string]struct {
		fails map[int]bool
		want  bool
	}{
		"one fails":  {fails: map[int]bool{0: true}, want: true},
		"all fail":   {fails: map[int]bool{0: true, 1: true, 2: true}},
		"none fails": {},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s, servers := chooser.NewServers(), pool(3)
			for range 10 {
				for i, server := range servers {
					verdict := chooser.VerdictGood
					if tc.fails[i] {
						verdict = chooser.VerdictFailed
					}
					s.Ended(opening, s.Sent(opening, chooser.Prompt{}, server.ID), verdict)
				}
			}
			qt.Assert(t, s.Suspect(servers[0].ID, servers), qt.Equals, tc.want)
		})
	}
}

func TestEqualServersTakeTurns(t *testing.T) {
	s, servers := chooser.NewServers(), pool(4)
	counts := map[int]int{}
	for range 40 {
		i, _ := s.Choose(opening, false, chooser.Prompt{Zone: "z"}, servers)
		counts[i]++
	}
	qt.Assert(t, counts, qt.DeepEquals, map[int]int{0: 10, 1: 10, 2: 10, 3: 10})
}

func TestNobodyToChoose(t *testing.T) {
	i, _ := chooser.NewServers().Choose(opening, true, chat("s"), nil)
	qt.Assert(t, i, qt.Equals, -1)
}
