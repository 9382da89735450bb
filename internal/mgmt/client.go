package mgmt

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// maxResponseBytes bounds what is read of an answer.
const maxResponseBytes = 1 << 20

// Call makes an operator's call at an instance, within a time, and tells the status and the answer's text.
func Call(method, addr, path, body string, within time.Duration) (status int, text []byte, err error) {
	r, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	c := http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true}} // one call a connection
	res, err := c.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	text, err = io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	return res.StatusCode, text, err
}

// CallOK is Call for who wants an answer of 200: any other is an error.
func CallOK(method, addr, path, body string, within time.Duration) ([]byte, error) {
	status, text, err := Call(method, addr, path, body, within)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%d %s: %s", status, http.StatusText(status), bytes.TrimSpace(text))
	}
	return text, err
}
