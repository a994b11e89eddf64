package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	// tagHeader carries the HMAC tag of an HTTP request from a peer, timeHeader
	// its Unix time in milliseconds and keyHeader the ID of its key.
	tagHeader  = "Lagoonramp-Peer-Tag"
	timeHeader = "Lagoonramp-Peer-Time"
	keyHeader  = "Lagoonramp-Peer-Key"
	// maxSkew is the maximum difference between the time of a request and the
	// receiver's clock. It limits the age of a replayed request and the clock
	// skew between hosts.
	maxSkew = 30 * time.Second
)

// SignRequest adds headers with an authentication tag to an HTTP request to
// another host. The tag covers the method, the request URI and the time, but
// not the body.
func SignRequest(r *http.Request, k Key, now time.Time) {
	timestamp := strconv.FormatInt(now.UnixMilli(), 10)
	r.Header.Set(timeHeader, timestamp)
	r.Header.Set(keyHeader, strconv.Itoa(int(k.ID)))
	r.Header.Set(tagHeader, requestTag(k, r.Method, r.URL.RequestURI(), timestamp))
}

// CheckRequest returns an error unless the request has a valid tag of one of
// the keys and is at most maxSkew away from now. It removes the headers that
// SignRequest added.
func CheckRequest(r *http.Request, keys []Key, now time.Time) error {
	timestamp := r.Header.Get(timeHeader)
	tag := r.Header.Get(tagHeader)
	id := r.Header.Get(keyHeader)
	r.Header.Del(timeHeader)
	r.Header.Del(tagHeader)
	r.Header.Del(keyHeader)
	ms, err := strconv.ParseInt(timestamp, 10, 64)
	if err != nil {
		return fmt.Errorf("%w: no time", ErrForged)
	}
	if age := now.Sub(time.UnixMilli(ms)); age > maxSkew || age < -maxSkew {
		return fmt.Errorf("%w: the request is %v old", ErrReplayed, age.Round(time.Second))
	}
	for _, k := range keys {
		if strconv.Itoa(int(k.ID)) != id {
			continue
		}
		if hmac.Equal([]byte(tag), []byte(requestTag(k, r.Method, r.URL.RequestURI(), timestamp))) {
			return nil
		}
		return ErrForged
	}
	return ErrKey
}

// requestTag returns the tag of a request in hex.
func requestTag(k Key, method, uri, timestamp string) string {
	mac := hmac.New(sha256.New, k.Secret)
	fmt.Fprintf(mac, "%s\n%s\n%s", method, uri, timestamp)
	return hex.EncodeToString(mac.Sum(nil))
}
