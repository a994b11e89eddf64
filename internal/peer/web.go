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
	// tagHeader carries the keyed tag of a peer's HTTP request.
	tagHeader  = "Lagoonramp-Peer-Tag"
	timeHeader = "Lagoonramp-Peer-Time"
	keyHeader  = "Lagoonramp-Peer-Key"
	// maxSkew bounds the age of a request and the clocks' difference.
	maxSkew = 30 * time.Second
)

// SignRequest tags an HTTP request to another host.
func SignRequest(r *http.Request, k Key, now time.Time) {
	stamp := strconv.FormatInt(now.UnixMilli(), 10)
	r.Header.Set(timeHeader, stamp)
	r.Header.Set(keyHeader, strconv.Itoa(int(k.ID)))
	r.Header.Set(tagHeader, webTag(k, r.Method, r.URL.RequestURI(), stamp))
}

// CheckRequest returns an error unless a known key tagged the request not
// long ago. It removes the tag's headers.
func CheckRequest(r *http.Request, keys []Key, now time.Time) error {
	stamp := r.Header.Get(timeHeader)
	tag := r.Header.Get(tagHeader)
	id := r.Header.Get(keyHeader)
	r.Header.Del(timeHeader)
	r.Header.Del(tagHeader)
	r.Header.Del(keyHeader)
	ms, err := strconv.ParseInt(stamp, 10, 64)
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
		if hmac.Equal([]byte(tag), []byte(webTag(k, r.Method, r.URL.RequestURI(), stamp))) {
			return nil
		}
		return ErrForged
	}
	return ErrKey
}

func webTag(k Key, method, uri, stamp string) string {
	mac := hmac.New(sha256.New, k.Secret)
	fmt.Fprintf(mac, "%s\n%s\n%s", method, uri, stamp)
	return hex.EncodeToString(mac.Sum(nil))
}
