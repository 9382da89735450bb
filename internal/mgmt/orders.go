package mgmt

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"linenloom/internal/orders"
)

const (
	maxSettleBytes = 512 << 10 // size of a call that settles an order, receipt included
	maxListed      = 1000
)

// Orders is the record of orders, as operators may list and settle unknown orders while it serves. Its
// methods may wait for a disk.
type Orders interface {
	ListUnknown(limit int) (list []orders.Entry, total int, err error)
	Settle(n orders.Name, s orders.State, receipt []byte, operator string) error
}

// HandleOrders registers the calls for a record of orders. It must be called before Serve.
func (f *Front) HandleOrders(o Orders) {
	f.mux.HandleFunc("GET /orders/unknown", func(w http.ResponseWriter, r *http.Request) { f.unknown(o, w, r) })
	f.mux.HandleFunc("PUT /orders/settle", func(w http.ResponseWriter, r *http.Request) { f.settle(o, w, r) })
}

// unknownOrder is an unknown order as listed in a response.
type unknownOrder struct {
	Tenant string    `json:"tenant"`
	Key    string    `json:"key"`
	At     time.Time `json:"at"`
	Sent   int       `json:"sent"`
	To     string    `json:"to"`
}

// unknown lists unknown orders, oldest first.
func (f *Front) unknown(o Orders, w http.ResponseWriter, r *http.Request) {
	limit := 100
	if text := r.URL.Query().Get("most"); text != "" {
		var err error
		if limit, err = strconv.Atoi(text); err != nil || limit < 0 || limit > maxListed {
			http.Error(w, fmt.Sprintf("most is %q; it can be from 0 to %d", text, maxListed), http.StatusBadRequest)
			return
		}
	}
	list, total, err := o.ListUnknown(limit)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	response := struct {
		All    int            `json:"all"`
		Orders []unknownOrder `json:"orders"`
	}{total, []unknownOrder{}}
	for _, e := range list {
		response.Orders = append(response.Orders, unknownOrder{e.Tenant, e.Key, time.Unix(0, int64(e.ChangedAt)).UTC(), e.Attempts, e.Member})
	}
	writeJSON(w, response)
}

// settle records the outcome of an unknown order. It responds with success only once the record is on
// stable storage.
func (f *Front) settle(o Orders, w http.ResponseWriter, r *http.Request) {
	var request struct{ Tenant, Key, As, By, Receipt string }
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSettleBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		http.Error(w, `the body is {"tenant", "key", "as", "by", "receipt"}: `+err.Error(), http.StatusBadRequest)
		return
	}
	s, ok := map[string]orders.State{"done": orders.Done, "never_ran": orders.NeverRan}[request.As]
	switch {
	case !ok:
		http.Error(w, fmt.Sprintf("as is %q; it can be done or never_ran", request.As), http.StatusBadRequest)
		return
	case strings.TrimSpace(request.By) == "" || len(request.By) > orders.MaxTextBytes:
		http.Error(w, "by, who has looked it up, is missing or too long", http.StatusBadRequest)
		return
	case s == orders.NeverRan && request.Receipt != "":
		http.Error(w, "an order that never ran has no receipt", http.StatusBadRequest)
		return
	}
	err := o.Settle(orders.Name{Tenant: request.Tenant, Key: request.Key}, s, []byte(request.Receipt), request.By)
	switch {
	case errors.Is(err, orders.ErrOperatorName):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case errors.Is(err, orders.ErrNotUnknown):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		f.log.Error("call to settle an order failed", "tenant", request.Tenant, "key", request.Key, "err", err)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		f.log.Info("order settled", "tenant", request.Tenant, "key", request.Key, "as", request.As, "by", request.By)
		fmt.Fprintf(w, "%s as=%s\n", request.Key, request.As)
	}
}
