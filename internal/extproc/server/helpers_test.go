package server

import corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

// headerMap makes headers of alternating names and values.
func headerMap(pairs ...string) *corev3.HeaderMap {
	m := &corev3.HeaderMap{}
	for i := 0; i+1 < len(pairs); i += 2 {
		m.Headers = append(m.Headers, &corev3.HeaderValue{Key: pairs[i], RawValue: []byte(pairs[i+1])})
	}
	return m
}
