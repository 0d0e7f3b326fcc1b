package document

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type sample struct {
	Name  string   `json:"name"`
	Wait  Duration `json:"wait"`
	Parts []struct {
		Size int `json:"size"`
	} `json:"parts"`
}

func TestDecodeErrorsHaveLineAndField(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"unknown field", "{\n \"name\": \"a\",\n \"size\": 3\n}", "f.json:3: size: unknown field"},
		{"nested unknown field", "{\n \"parts\": [\n {\"siez\": 3}]\n}", "f.json:3: siez: unknown field"},
		{"wrong type", "{\n \"name\": \"a\",\n \"parts\": [{\"size\": \"x\"}]\n}", "f.json:3: parts.size: want int, got string"},
		{"wrong duration", "{\n \"wait\": \"soon\"\n}", `f.json:2: "soon": not a duration such as "150ms"`},
		{"syntax", "{\n \"name\": \n}", "f.json:3: invalid character '}' looking for beginning of value"},
		{"two documents", "{}\n{}", "f.json:2: text after the end of the document"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.EqualError(t, Decode("f.json", []byte(tt.text), &sample{}), tt.want)
		})
	}
}

func TestLineOfNestedField(t *testing.T) {
	text := []byte("{\n \"name\": \"a\",\n \"parts\": [\n  {\"size\": 1},\n  {\"size\": 2}\n ]\n}")
	tests := []struct {
		path string
		want int
	}{
		{"name", 2},
		{"parts[0].size", 4},
		{"parts[1].size", 5},
		{"parts[1].weight", 5},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, Line(text, tt.path), tt.path)
	}
}
