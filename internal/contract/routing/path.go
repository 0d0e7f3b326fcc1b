package routing

// This file defines which path and which host of a request select its route. The path is that which the
// client wrote, since the target gets the same bytes. If a target may read another path in them, which
// selects another route, no route is right: its rules on keys, repeats and services may differ.

import (
	"net"
	"strings"
)

// MatchTarget returns the route of a request, or nil if there is none. host is its Host field, and target
// its request target. ambiguous is set if the path is equivalent to one that selects another route.
func (t *Table) MatchTarget(host, target string) (r *Route, ambiguous bool) {
	host, path := HostName(host), WrittenPath(target)
	r, _ = t.Match(host, path)
	if normal := NormalPath(path); normal != path {
		other, _ := t.Match(host, normal)
		return r, other != r
	}
	return r, false
}

// HostName returns the name in a Host field: without a port and a final dot, in lower case.
func HostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// WrittenPath returns the path of a request target in origin or absolute form, as the client wrote it.
func WrittenPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	if _, rest, ok := strings.Cut(path, "://"); ok {
		if at := strings.IndexByte(rest, '/'); at >= 0 {
			return rest[at:]
		}
		return "/"
	}
	return path
}

// NormalPath returns the equivalent path without encoded unreserved characters and dot segments (RFC
// 3986, section 6.2.2). Encoded slashes stay: they are data of a segment.
func NormalPath(path string) string {
	if !strings.Contains(path, "%") && !strings.Contains(path, "/.") {
		return path
	}
	return removeDotSegments(decodeUnreserved(path))
}

func decodeUnreserved(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	var b strings.Builder
	for i := 0; i < len(path); i++ {
		if path[i] == '%' && i+2 < len(path) {
			if c, ok := unhex(path[i+1], path[i+2]); ok && isUnreserved(c) {
				b.WriteByte(c)
				i += 2
				continue
			}
		}
		b.WriteByte(path[i])
	}
	return b.String()
}

func unhex(high, low byte) (byte, bool) {
	const digits = "0123456789abcdef"
	h, l := strings.IndexByte(digits, lower(high)), strings.IndexByte(digits, lower(low))
	return byte(h<<4 | l), h >= 0 && l >= 0
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c | 0x20
	}
	return c
}

func isUnreserved(c byte) bool {
	letter := lower(c)
	return 'a' <= letter && letter <= 'z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// removeDotSegments removes "." and ".." from an absolute path (RFC 3986, section 5.2.4).
func removeDotSegments(path string) string {
	if !strings.Contains(path, "/.") {
		return path
	}
	segments := strings.Split(path, "/")[1:]
	kept := make([]string, 0, len(segments))
	for i, segment := range segments {
		last := i == len(segments)-1
		switch segment {
		case ".":
		case "..":
			kept = kept[:max(0, len(kept)-1)]
		default:
			kept = append(kept, segment)
			continue
		}
		if last {
			kept = append(kept, "")
		}
	}
	return "/" + strings.Join(kept, "/")
}
