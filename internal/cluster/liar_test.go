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

// rogueInstance is an instance of the installation whose messages are made up. It has the key, and is a member like any other.
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

// addRogueInstance has a liar join, and tell everybody at full speed what made returns, until the test ends.
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
	// Its connections come from an address that no link knows: it is called, and so is there.
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

// An instance that lies about every zone, floods and tells an old epoch again and again moves nothing, and neither keeps the others from
// leaving a zone that fails by telling that all is well.
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
	// The first verdict of all is taken from anyone who is a member: what it closes is tried, found well and returned to.
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
