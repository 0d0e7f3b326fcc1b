// Package proof defines how stand-in targets and the load tool prove that an
// answer is whole and belongs to its request.
//
// The answer repeats a digest of the request until it has the wanted size, so
// that any lost, added or foreign byte shows.
//
// # Usage
//
//	body := proof.Answer(proof.Digest(id, method, path, requestBody), 512)
//	ok := proof.Whole(body, digest, 512)
package proof

// This file defines Digest, Answer and Whole, and the headers of the bench.

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
)

// Headers between the load tool and the stand-in targets.
const (
	// HeaderID names the request.
	HeaderID = "Bench-Id"
	// HeaderWork asks for a service time, in microseconds.
	HeaderWork = "Bench-Work-Us"
	// HeaderSize asks for the size of the answer, in bytes.
	HeaderSize = "Bench-Answer-Bytes"
	// HeaderChunked asks for an answer without a length.
	HeaderChunked = "Bench-Chunked"
	// HeaderCrash makes the target exit while it runs the request.
	HeaderCrash = "Bench-Crash"
	// HeaderInside tells the time spent in the target, in microseconds.
	HeaderInside = "Bench-Inside-Us"
)

// Digest identifies a request by all that must reach the target.
func Digest(id, method, path string, body []byte) string {
	sum := sha256.New()
	for _, part := range []string{id, method, path} {
		sum.Write([]byte(part))
		sum.Write([]byte{0})
	}
	sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil))
}

// Answer returns size bytes that repeat the digest.
func Answer(digest string, size int) []byte {
	body := bytes.Repeat([]byte(digest), size/len(digest)+1)
	return body[:size]
}

// Whole reports whether body is the whole answer to the request of the digest.
func Whole(body []byte, digest string, size int) bool {
	return bytes.Equal(body, Answer(digest, size))
}
