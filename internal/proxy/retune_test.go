package proxy

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"linenloom/internal/reasons"
	"linenloom/logic"
)

// Classes are added, removed and changed while the proxy runs. A request in progress keeps the class and the number of
// attempts that it was accepted with.
func TestRetune(t *testing.T) {
	release := make(chan struct{})
	asked := make(chan string, 10)
	o := startOrigin(t, func(r *http.Request) string {
		asked <- r.URL.Path
		if r.URL.Path == "/b1" {
			<-release
			return "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n" // the order may have run
		}
		return httpOK("done")
	})
	p := startProxy(t, testConfig(), listEntry("o", o, "origin"))
	orderClient, client := p.dial(), p.dial()
	orderClient.send(setCommand("b1", "r1", "x")) // an order in progress, which must not run twice
	<-asked

	classes := slices.Clone(p.Classes())
	classes[1].Effect = logic.Repeatable
	classes = append([]logic.Class{{Name: "overlay", SoftDeadline: time.Second, Deadline: 3 * time.Second, Value: 1}}, classes[1])
	client.send(respCommand("OBJ.SET", "b2", "r2", "c=overlay,d=8000", "x"))
	if got := client.answer(); got != "-ERR unknown class" {
		t.Errorf("before: %q", got)
	}
	if err := p.UpdateClasses(classes, 2); err != nil {
		t.Fatal(err)
	}
	client.send(respCommand("OBJ.SET", "b3", "r3", "c=overlay,d=8000", "x"))
	if got := client.answer(); got != "done" {
		t.Errorf("the class that is added: %q", got)
	}
	client.send(getCommand("b4", "r4"))
	if got := client.answer(); got != "-ERR unknown class" {
		t.Errorf("the class that is dropped: %q", got)
	}
	close(release)
	if got := orderClient.answer(); got != "-ERR failed" {
		t.Errorf("the order in hand: %q", got)
	}
	for len(asked) > 0 {
		if at := <-asked; at == "/b1" {
			t.Error("the order ran twice")
		}
	}
	if n := p.Reasons().Total(reasons.Failed, logic.MayHaveRun); n != 1 {
		t.Errorf("%d failures counted for what may have run, want 1", n)
	}
	for name, bad := range map[string][]logic.Class{"none": nil, "no deadline": {{Name: "x", SoftDeadline: 1}}} {
		if err := p.UpdateClasses(bad, 2); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if err := p.UpdateClasses(classes, 0); err == nil {
		t.Error("no attempts: taken")
	}
	if got := p.Classes(); len(got) != 2 || got[0].Name != "overlay" {
		t.Errorf("after what was turned down: %v", got)
	}
}
