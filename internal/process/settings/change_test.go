package settings

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against settings whose change goes unnoticed: each field must be compared.
func TestCompareKnowsEachSetting(t *testing.T) {
	change := func(v reflect.Value) {
		switch v.Interface().(type) {
		case string:
			v.SetString("changed")
		case []string:
			v.Set(reflect.ValueOf([]string{"changed"}))
		case bool:
			v.SetBool(true)
		case int, int64, time.Duration:
			v.SetInt(7)
		case float64:
			v.SetFloat(7)
		case netip.Addr:
			v.Set(reflect.ValueOf(netip.MustParseAddr("10.0.0.1")))
		case netip.AddrPort:
			v.Set(reflect.ValueOf(netip.MustParseAddrPort("10.0.0.1:80")))
		default:
			t.Fatalf("no value for a field of type %s", v.Type())
		}
	}
	seen := map[string]bool{}
	check := func(name string, next *Entry) {
		changes := Compare(&Entry{}, next)
		require.Len(t, changes, 1, name)
		require.False(t, seen[changes[0].Name], changes[0].Name)
		seen[changes[0].Name] = true
	}
	for n := range reflect.TypeFor[Entry]().NumField() {
		if field := reflect.TypeFor[Entry]().Field(n); field.Type != reflect.TypeFor[Bounds]() {
			var next Entry
			change(reflect.ValueOf(&next).Elem().Field(n))
			check(field.Name, &next)
		}
	}
	for n := range reflect.TypeFor[Bounds]().NumField() {
		var next Entry
		change(reflect.ValueOf(&next.Bounds).Elem().Field(n))
		check(reflect.TypeFor[Bounds]().Field(n).Name, &next)
	}
	require.Empty(t, Compare(&Entry{Name: "a"}, &Entry{Name: "a"}))
}
