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

func (r *rogueInstance) NodeMeta(int) []byte                    { return r.meta }
func (r *rogueInstance) NotifyMsg([]byte)                       {}
func (r *rogueInstance) GetBroadcasts(int, int) [][]byte        { return nil }
func (r *rogueInstance) LocalState(bool) []byte                 { return nil }
func (r *rogueInstance) MergeRemoteState(buf []byte, join bool) {}

const rogueNumber = 89

// addRogueInstance adds a rogue instance, which sends the messages of makeMessage to all others, one
// every 2 ms until the test ends.
func (h *harness) addRogueInstance(makeMessage func(n int) zones.Message) {
	t := h.t
	t.Helper()
	for _, p := range h.Proxies {
		h.addLink(proxyName(rogueNumber), p.Name)
		h.addLink(p.Name, proxyName(rogueNumber))
	}
	key, err := hex.DecodeString(gossipKeyHex)
	if err != nil {
		t.Fatal(err)
	}
	rogue := &rogueInstance{meta: fmt.Appendf(nil, `{"n":"liar","i":%d,"z":"a","s":1,"d":true}`, rogueNumber)}
	config := memberlist.DefaultLANConfig()
	config.Name, config.Label, config.SecretKey, config.Delegate = "liar@1", "linenloom", key, rogue
	config.BindAddr, config.BindPort, config.AdvertisePort = fmt.Sprintf("%s%d", h.subnet, rogueNumber+1), gossipPort, gossipPort
	config.Logger = log.New(io.Discard, "", 0)
	if rogue.list, err = memberlist.Create(config); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { rogue.list.Shutdown() })
	// Its connections come from an address without a link. The others reach it by calling it instead.
	if err := Eventually("the liar is a member", func() bool {
		for _, p := range h.Proxies {
			raw := net.JoinHostPort(fmt.Sprintf("%s%d", h.subnet, 1+p.Number), fmt.Sprint(gossipPort))
			if n, err := rogue.list.Join([]string{raw}); err != nil || n == 0 {
				return false
			}
		}
		return rogue.list.NumMembers() == len(h.Proxies)+1
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
			msg := makeMessage(n)
			for _, m := range rogue.list.Members() {
				if m.Name != config.Name {
					rogue.list.SendBestEffort(m, msg.Append(nil))
				}
			}
		}
	}()
}

// An instance that floods the others with false reports on every zone and with an old epoch changes no
// decision, and by reporting that all is well it doesn't keep the others from leaving a failing zone.
func TestRogueInstance(t *testing.T) {
	t.Parallel()
	allBad := zones.ZoneStats{Judged: 1000, Bad: 1000, Silent: 1000, TrimmedJudged: 600, TrimmedBad: 600}
	allGood := zones.ZoneStats{Judged: 1000, TrimmedJudged: 600}
	current := allGood
	reported := make(chan zones.ZoneStats, 1)
	h := newHarness(t, Options{})
	h.addRogueInstance(func(n int) zones.Message {
		select {
		case current = <-reported:
		default:
		}
		return zones.Message{From: rogueNumber, Report: &zones.Report{Number: rogueNumber, StartedAtMS: 1, Seq: uint64(n), Zones: []zones.ZoneStats{current, current, current}},
			Verdict: &zones.Verdict{Epoch: 1, DecidedBy: rogueNumber, Zones: []zones.Zone{{Share: zones.FullShare}, {Share: zones.FullShare}, {State: zones.StateOut}}}}
	})
	reported <- allBad
	// The very first verdict is accepted from any member: the zones that it closes are probed, found
	// healthy and returned to.
	h.awaitState("c", "in")
	h.requireAllInUse(3 * time.Second)
	reported <- allGood
	h.blockZones(true, "c")
	h.awaitState("c", "trying")
	h.blockZones(false, "c")
	h.awaitState("c", "in")
	h.Stop()
	for _, violation := range h.Violations() {
		t.Error(violation)
	}
}
