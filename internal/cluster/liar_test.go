package cluster

import (
	"encoding/hex"
	"fmt"
	"io"
	"log"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"linenloom/internal/zones"
)

// rogueInstance is an instance with made-up messages. It has the key and is a regular gossip member.
type rogueInstance struct {
	memberlist.Delegate
	list *memberlist.Memberlist
	meta []byte
}

func (l *rogueInstance) NodeMeta(int) []byte                    { return l.meta }
func (l *rogueInstance) NotifyMsg([]byte)                       {}
func (l *rogueInstance) GetBroadcasts(int, int) [][]byte        { return nil }
func (l *rogueInstance) LocalState(bool) []byte                 { return nil }
func (l *rogueInstance) MergeRemoteState(buf []byte, join bool) {}

const rogueNumber = 89

// addRogueInstance adds a rogue instance, which sends the messages that made returns to all others, one
// every 2 ms until the test ends.
func (s *harness) addRogueInstance(made func(n int) zones.Message) {
	t := s.t
	t.Helper()
	for _, p := range s.Proxies {
		s.addLink(proxyName(rogueNumber), p.Name)
		s.addLink(p.Name, proxyName(rogueNumber))
	}
	key, err := hex.DecodeString(gossipKeyHex)
	if err != nil {
		t.Fatal(err)
	}
	l := &rogueInstance{meta: fmt.Appendf(nil, `{"n":"liar","i":%d,"z":"a","s":1,"d":true}`, rogueNumber)}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.SecretKey, c.Delegate = "liar@1", "linenloom", key, l
	c.BindAddr, c.BindPort, c.AdvertisePort = fmt.Sprintf("%s%d", s.subnet, rogueNumber+1), gossipPort, gossipPort
	c.Logger = log.New(io.Discard, "", 0)
	if l.list, err = memberlist.Create(c); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.list.Shutdown() })
	// Its connections come from an address without a link. The others reach it by calling it instead.
	if err := Eventually("the liar is a member", func() bool {
		for _, p := range s.Proxies {
			raw := net.JoinHostPort(fmt.Sprintf("%s%d", s.subnet, 1+p.Number), fmt.Sprint(gossipPort))
			if n, err := l.list.Join([]string{raw}); err != nil || n == 0 {
				return false
			}
		}
		return l.list.NumMembers() == len(s.Proxies)+1
	}); err != nil {
		t.Fatal(err)
	}
	quit := make(chan struct{})
	t.Cleanup(func() { close(quit) })
	go func() {
		for n := 1; ; n++ {
			select {
			case <-quit:
				return
			case <-time.After(2 * time.Millisecond):
			}
			msg := made(n)
			for _, m := range l.list.Members() {
				if m.Name != c.Name {
					l.list.SendBestEffort(m, msg.Append(nil))
				}
			}
		}
	}()
}

// An instance that floods the others with false reports on every zone and with an old epoch changes no
// decision, and by reporting that all is well it doesn't keep the others from leaving a failing zone.
func TestRogueInstance(t *testing.T) {
	t.Parallel()
	bad := zones.ZoneStats{Judged: 1000, Bad: 1000, Silent: 1000, TrimmedJudged: 600, TrimmedBad: 600}
	good := zones.ZoneStats{Judged: 1000, TrimmedJudged: 600}
	say := good
	lies := make(chan zones.ZoneStats, 1)
	s := newHarness(t, Options{})
	s.addRogueInstance(func(n int) zones.Message {
		select {
		case say = <-lies:
		default:
		}
		return zones.Message{From: rogueNumber, Report: &zones.Report{Number: rogueNumber, StartedAtMS: 1, Seq: uint64(n), Zones: []zones.ZoneStats{say, say, say}},
			Verdict: &zones.Verdict{Epoch: 1, DecidedBy: rogueNumber, Zones: []zones.Zone{{Share: zones.FullShare}, {Share: zones.FullShare}, {State: zones.StateOut}}}}
	})
	lies <- bad
	// The very first verdict is accepted from any member: the zones that it closes are probed, found
	// healthy and returned to.
	s.awaitState("c", "in")
	s.requireAllInUse(3 * time.Second)
	lies <- good
	s.blockZones(true, "c")
	s.awaitState("c", "trying")
	s.blockZones(false, "c")
	s.awaitState("c", "in")
	s.Stop()
	for _, b := range s.Violations() {
		t.Error(b)
	}
}
