package mgmt

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// maxResponseBytes bounds how much of a response is read.
const maxResponseBytes = 1 << 20

// Call sends an operator's call to an instance, with a timeout, and returns the status and body of the
// response.
func Call(method, addr, path, body string, timeout time.Duration) (status int, text []byte, err error) {
	r, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}} // one call per connection
	res, err := c.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	text, err = io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	return res.StatusCode, text, err
}

// CallOK is like Call, but returns an error for any status other than 200.
func CallOK(method, addr, path, body string, timeout time.Duration) ([]byte, error) {
	status, text, err := Call(method, addr, path, body, timeout)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%d %s: %s", status, http.StatusText(status), bytes.TrimSpace(text))
	}
	return text, err
}
