package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against requests that get the rules of another route: of the path that their client did not
// write, or of one that a target does not read.
func TestRouteOfARequestTarget(t *testing.T) {
	table := NewTable(&Config{Routes: []Route{
		{Name: "book", Host: "shop.example", Prefix: "/book/"},
		{Name: "list", Host: "shop.example", Prefix: "/book/list/", Idempotent: true},
		{Name: "open", Host: "shop.example", Prefix: "/open/", Idempotent: true},
		{Name: "upper", Host: "Upper.example", Prefix: "/"},
	}})
	tests := []struct {
		name, host, target string
		// route is the name of the route; empty for none.
		route     string
		ambiguous bool
	}{
		{name: "plain", target: "/book/list/p1", route: "list"},
		{name: "query", target: "/book/p1?next=/book/list/p1", route: "book"},
		{name: "encoded slash", target: "/book/list%2Fp1", route: "book"},
		{name: "encoded slash, lower case", target: "/book/list%2fp1", route: "book"},
		{name: "encoded slash in the prefix", target: "/book%2Flist/p1"},
		{name: "encoded slash behind the prefix", target: "/book/list/a%2Fb", route: "list"},
		{name: "encoded letter of the prefix", target: "/book/l%69st/p1", route: "book", ambiguous: true},
		{name: "encoded letter of the only prefix", target: "/%6Fpen/p1", ambiguous: true},
		{name: "encoded letter behind the prefix", target: "/book/list/%70", route: "list"},
		{name: "encoded space behind the prefix", target: "/book/list/a%20b", route: "list"},
		{name: "dot segments to another route", target: "/book/list/../p1", route: "list", ambiguous: true},
		{name: "dot segments into another route", target: "/book/x/../list/p1", route: "book", ambiguous: true},
		{name: "dot segments out of all routes", target: "/open/../admin", route: "open", ambiguous: true},
		{name: "dot segments above the root", target: "/../../book/p1", ambiguous: true},
		{name: "dot segments within the route", target: "/book/list/a/../b/./c", route: "list"},
		{name: "encoded dots to another route", target: "/book/list/%2e%2E/p1", route: "list", ambiguous: true},
		{name: "single dot", target: "/book/./list/p1", route: "book", ambiguous: true},
		{name: "final dots", target: "/book/list/..", route: "list", ambiguous: true},
		{name: "names that begin with dots", target: "/book/list/.well/..x", route: "list"},
		{name: "doubled slash", target: "/book//list/p1", route: "book"},
		{name: "doubled slash at the start", target: "//book/list/p1"},
		{name: "without the last slash", target: "/book/list", route: "book"},
		{name: "without any slash", target: "/book"},
		{name: "upper case", target: "/Book/p1"},
		{name: "encoded percent sign", target: "/book/list%252Fp1", route: "book"},
		{name: "incomplete escape", target: "/book/list/%2", route: "list"},
		{name: "absolute target", target: "http://shop.example/book/list/p1?x", route: "list"},
		{name: "absolute target, encoded slash", target: "http://shop.example/book/list%2Fp1", route: "book"},
		{name: "absolute target without a path", target: "http://shop.example"},
		{name: "asterisk", target: "*"},
		{name: "host in upper case", host: "SHOP.Example", target: "/book/p1", route: "book"},
		{name: "host with a port", host: "shop.example:80", target: "/book/p1", route: "book"},
		{name: "host with a final dot", host: "shop.example.", target: "/book/p1", route: "book"},
		{name: "host with a final dot and a port", host: "shop.example.:80", target: "/book/p1", route: "book"},
		{name: "host in upper case in the configuration", host: "upper.example", target: "/x", route: "upper"},
		{name: "another host", host: "shop.example.org", target: "/book/p1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			host := tt.host
			if host == "" {
				host = "shop.example"
			}
			r, ambiguous := table.MatchTarget(host, tt.target)
			name := ""
			if r != nil {
				name = r.Name
			}
			require.Equal(t, tt.route, name)
			require.Equal(t, tt.ambiguous, ambiguous)
		})
	}
}

func FuzzNormalPath(f *testing.F) {
	for _, seed := range []string{"/a/../b", "/%2e%2E/", "/a//b/.", "/%", "", "/..", "/a%2Fb"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, path string) {
		if path == "" || path[0] != '/' {
			path = "/" + path
		}
		normal := NormalPath(path)
		require.Equal(t, byte('/'), normal[0])
		require.NotContains(t, normal+"/", "/../")
		require.NotContains(t, normal+"/", "/./")
	})
}
