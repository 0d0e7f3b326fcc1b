// Package proof generates and verifies response bodies with which the load tool checks
// that a response from a fake target is complete and belongs to its request.
//
// The body repeats a digest of the request up to the requested size, so that any lost,
// added or wrong byte is detected.
//
// # Usage
//
//	digest := proof.Digest(id, method, path, requestBody)
//	body := proof.Body(digest, 512)
//	ok := proof.Valid(body, digest, 512)
package proof

// This file defines Digest, Body and Valid, and the headers of the protocol.

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
)

// Headers of the protocol between the load tool and the fake targets.
const (
	// HeaderID is the ID of the request.
	HeaderID = "Bench-Id"
	// HeaderServiceTime is the requested service time, in microseconds.
	HeaderServiceTime = "Bench-Work-Us"
	// HeaderResponseBytes is the requested size of the response body, in bytes.
	HeaderResponseBytes = "Bench-Answer-Bytes"
	// HeaderChunked requests a response without Content-Length.
	HeaderChunked = "Bench-Chunked"
	// HeaderCrash makes the target exit when it starts to run the request.
	HeaderCrash = "Bench-Crash"
	// HeaderTargetTime is the time that the request spent in the target, including the wait
	// for a slot, in microseconds.
	HeaderTargetTime = "Bench-Inside-Us"
)

// Digest returns a digest of the parts of a request that must reach the target unchanged.
func Digest(id, method, path string, body []byte) string {
	hash := sha256.New()
	for _, part := range []string{id, method, path} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// Body returns the response body: size bytes that repeat the digest.
func Body(digest string, size int) []byte {
	body := bytes.Repeat([]byte(digest), size/len(digest)+1)
	return body[:size]
}

// Valid reports whether body is the complete response body for a request with this digest.
func Valid(body []byte, digest string, size int) bool {
	return bytes.Equal(body, Body(digest, size))
}
