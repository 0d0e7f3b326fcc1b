package entry

// This file defines by what requests are told apart that crash targets.

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
)

// fingerprint returns a hash of the client account, the method, the host, the path and the body of the
// request. A target gets the name of the account with the request, so requests of different accounts
// differ: one may crash targets while the others succeed. Of a body that is streamed, the length and the
// beginning count: more is not known before it is sent, nor when a target has crashed in the middle of
// it. Uploads that differ only behind that are taken for one.
func (req *clientRequest) fingerprint() uint64 {
	d := xxhash.New()
	if req.account != nil {
		// No method begins with a zero byte, so requests without an account have other fingerprints.
		_, _ = d.WriteString("\x00" + req.account.Name + "\x00")
	}
	for _, part := range []string{req.incoming.Method, routing.HostName(req.incoming.Host), req.incoming.URL.RequestURI()} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(req.body)
	if req.streamed {
		_, _ = d.WriteString(strconv.FormatUint(req.prefixHash, 16) + " " + strconv.FormatInt(req.incoming.ContentLength, 10))
	}
	return d.Sum64()
}
