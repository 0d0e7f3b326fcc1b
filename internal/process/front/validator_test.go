package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	get  = "GET /a HTTP/1.1\r\nHost: a.test\r\n"
	post = "POST /a HTTP/1.1\r\nHost: a.test\r\n"
)

func TestValidatorRejectsAmbiguousRequests(t *testing.T) {
	tests := []struct {
		name string
		text string
		want error
	}{
		{name: "plain", text: get + "\r\n"},
		{name: "two requests", text: get + "\r\n" + get + "\r\n"},
		{name: "body", text: post + "Content-Length: 5\r\n\r\nhello" + get + "\r\n"},
		{name: "body that looks like an invalid header", text: post + "Content-Length: 8\r\n\r\nA : b\n\x00\n" + get + "\r\n"},
		{name: "chunks", text: post + "Transfer-Encoding: Chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n" + get + "\r\n"},
		{name: "absolute form", text: "GET http://a.test/a HTTP/1.1\r\nHost: A.test\r\n\r\n"},
		{name: "a URL in the path", text: "GET /a?to=http://b.test/ HTTP/1.1\r\nHost: a.test\r\n\r\n"},
		{name: "empty line before a request", text: "\r\n" + get + "\r\n"},
		{name: "list of codings is left to the server", text: post + "Transfer-Encoding: gzip, chunked\r\n\r\n"},

		{name: "length and chunks", text: post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", want: ErrBodyLength},
		{name: "chunks and length", text: post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", want: ErrBodyLength},
		{name: "two lengths", text: post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", want: ErrBodyLength},
		{name: "one length twice", text: post + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", want: ErrBodyLength},
		{name: "list of lengths", text: post + "Content-Length: 5, 5\r\n\r\nhello", want: ErrBodyLength},
		{name: "signed length", text: post + "Content-Length: +5\r\n\r\nhello", want: ErrBodyLength},
		{name: "negative length", text: post + "Content-Length: -5\r\n\r\nhello", want: ErrBodyLength},
		{name: "empty length", text: post + "Content-Length:\r\n\r\nhello", want: ErrBodyLength},
		{name: "hexadecimal length", text: post + "Content-Length: 0x5\r\n\r\nhello", want: ErrBodyLength},
		{name: "length beyond an int64", text: post + "Content-Length: 9223372036854775808\r\n\r\nhello", want: ErrBodyLength},
		{name: "chunks twice", text: post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", want: ErrBodyLength},
		{name: "chunks in HTTP/1.0", text: "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", want: ErrBodyLength},
		{name: "body after an unknown coding", text: post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", want: ErrBodyLength},
		{name: "folded line", text: get + "A: b\r\n c\r\n\r\n", want: ErrHeaderLine},
		{name: "folded first line", text: "GET /a HTTP/1.1\r\n Host: a.test\r\n\r\n", want: ErrHeaderLine},
		{name: "space before the colon", text: post + "Content-Length : 5\r\n\r\nhello", want: ErrHeaderLine},
		{name: "no colon", text: get + "abc\r\n\r\n", want: ErrHeaderLine},
		{name: "control character in a name", text: get + "Content-\x0bLength: 5\r\n\r\n", want: ErrHeaderLine},
		{name: "bare CR", text: get + "A: b\rContent-Length: 5\r\n\r\n", want: ErrLineEnd},
		{name: "bare LF", text: get + "A: b\nContent-Length: 5\r\n\r\n", want: ErrLineEnd},
		{name: "NUL", text: get + "A: b\x00\r\n\r\n", want: ErrLineEnd},
		{name: "two hosts", text: get + "Host: b.test\r\n\r\n", want: ErrHost},
		{name: "absolute form of another host", text: "GET http://b.test/a HTTP/1.1\r\nHost: a.test\r\n\r\n", want: ErrHost},
		{name: "CONNECT", text: "CONNECT a.test:80 HTTP/1.1\r\nHost: a.test\r\n\r\n", want: ErrRequestLine},
		{name: "space in the path", text: "GET /a b HTTP/1.1\r\nHost: a.test\r\n\r\n", want: ErrRequestLine},
		{name: "HTTP/2 where it is not allowed", text: http2Preface + "\r\n\r\nSM\r\n\r\n", want: ErrRequestLine},
		{name: "chunk size that is not a number", text: post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", want: ErrChunk},
		{name: "signed chunk size", text: post + "Transfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n", want: ErrChunk},
		{name: "chunk size beyond an int64", text: post + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n", want: ErrChunk},
		{name: "chunk longer than its size", text: post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n", want: ErrChunk},
		{name: "bare LF after a chunk size", text: post + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n", want: ErrLineEnd},
		{name: "length in a trailer", text: post + "Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 5\r\n\r\n", want: ErrBodyLength},
		{name: "line without an end", text: get + "A: " + strings.Repeat("b", maxLineBytes), want: ErrLineTooLong},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, size := range []int{1, 7, len(tt.text)} {
				v, got := validator{}, error(nil)
				for at := 0; at < len(tt.text) && got == nil; at += size {
					part := tt.text[at:min(len(tt.text), at+size)]
					var n int
					n, got = v.feed([]byte(part))
					require.Equal(t, got == nil, n == len(part))
				}
				if tt.want == nil {
					require.NoError(t, got, "in parts of %d", size)
					continue
				}
				require.ErrorIs(t, got, tt.want, "in parts of %d", size)
			}
		})
	}
}

func TestHTTP2IsNotValidated(t *testing.T) {
	v := validator{http2: true}
	_, err := v.feed([]byte(http2Preface + "\r\n\r\nSM\r\n\r\n\x00\x00\n"))
	require.NoError(t, err)
	_, err = v.feed([]byte{0, '\n', 0})
	require.NoError(t, err)
}

// TestServerClosesConnectionAfterAmbiguousRequest checks that the server handles the request
// before the ambiguous one, rejects the ambiguous one with 400 and closes the connection.
func TestServerClosesConnectionAfterAmbiguousRequest(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var reason error
	served := make(chan string, 4)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { served <- r.URL.Path })}
	go func() {
		_ = server.Serve(NewStrictListener(inner, func(caller netip.AddrPort, err error) {
			require.True(t, caller.IsValid())
			reason = err
		}))
	}()
	defer server.Close()
	nc, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer nc.Close()
	_, err = io.WriteString(nc, get+"\r\n"+post+"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+get+"\r\n")
	require.NoError(t, err)
	br := bufio.NewReader(nc)
	for _, status := range []int{http.StatusOK, http.StatusBadRequest} {
		res, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		require.Equal(t, status, res.StatusCode)
		_, err = io.Copy(io.Discard, res.Body)
		require.NoError(t, err)
	}
	_, err = br.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.ErrorIs(t, reason, ErrBodyLength)
	require.Len(t, served, 1)
}

func FuzzValidator(f *testing.F) {
	f.Add([]byte(get+"\r\n"), 3)
	f.Add([]byte(post+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		unsplit := validator{}
		n, err := unsplit.feed(data)
		require.Equal(t, err == nil, n == len(data))
		split, splitErr := validator{}, error(nil)
		size = max(1, size%64)
		for at := 0; at < len(data) && splitErr == nil; at += size {
			_, splitErr = split.feed(data[at:min(len(data), at+size)])
		}
		require.Equal(t, err == nil, splitErr == nil, "the result must not depend on how the bytes are split")
	})
}
