package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const valid = `{
  "name": "balancer-1",
  "domain": "domain-1",
  "listen": {
    "callers": "127.0.0.1:1",
    "peers": "127.0.0.1:2",
    "operators": "127.0.0.1:3",
    "observe": "127.0.0.1:4"
  },
  "store": "http://127.0.0.1:5",
  "peer-tls": {"certificate": "FILE", "key": "FILE", "authority": "FILE"},
  "operators": [
    {"partner": "exchange", "name": "ana", "secret-sha256-file": "DIGEST"}
  ],
  "limits": {
    "idle-timeout": "1m"
  }
}`

func TestParseReportsLineAndFieldOfInvalidSettings(t *testing.T) {
	dir := t.TempDir()
	file, digest := filepath.Join(dir, "file"), filepath.Join(dir, "digest")
	require.NoError(t, os.WriteFile(file, []byte("x"), 0o600))
	require.NoError(t, os.WriteFile(digest, []byte(strings.Repeat("ab", 32)+"\n"), 0o600))
	text := strings.NewReplacer("FILE", file, "DIGEST", digest).Replace(valid)
	tests := []struct{ name, old, replacement, want string }{
		{"valid", "", "", ""},
		{"unknown key", `"domain":`, `"domian":`, "s.json:3: domian: unknown field"},
		{"invalid name", "balancer-1", "Balancer 1", `s.json:2: name: want a kebab-case name, got "Balancer 1"`},
		{"invalid address", "127.0.0.1:2", "localhost:2", "s.json"},
		{"duplicate address", "127.0.0.1:3", "127.0.0.1:2", "s.json:7: listen.operators: 127.0.0.1:2 is used by listen.peers"},
		{"unspecified peer address", "127.0.0.1:2", "0.0.0.0:2", "s.json:6: listen.peers: want a specific IP address, since other balancers connect to it"},
		{"invalid store URL", "http://127.0.0.1:5", "127.0.0.1:5", "s.json:10: store: want a URL"},
		{"missing certificate", `"certificate": "` + file, `"certificate": "` + file + "-gone", "s.json:11: peer-tls.certificate: stat"},
		{"missing secret file", digest, digest + "-gone", "s.json:13: operators[0].secret-sha256-file: open"},
		{"malformed secret digest", digest, file, "s.json:13: operators[0].secret-sha256-file: want 64 hexadecimal digits"},
		{"invalid duration", `"1m"`, `"soon"`, `s.json:16: "soon": not a duration`},
		{"negative duration", `"1m"`, `"-1m"`, "s.json:16: limits.idle-timeout: want a positive duration"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, err := Parse("s.json", []byte(strings.Replace(text, tt.old, tt.replacement, 1)))
			if tt.want == "" {
				require.NoError(t, err)
				require.Equal(t, byte(0xab), s.Operators[0].Digest[0])
				return
			}
			require.ErrorContains(t, err, tt.want)
		})
	}
}
