package job

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
	"tamaracktiller.example/tamaracktiller/platform"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

func TestAcceptedJobsOutliveAReturnOfTheStoreFromACopy(t *testing.T) {
	served := platformtest.NewStore()
	defer served.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ran := map[string]int{}
	s := NewService(Config{
		Holder: "host-0", Store: store.NewKeyed(platform.NewClient(served.Address(), nil)), Now: time.Now, Log: logrus.NewEntry(log),
		Run: func(_ context.Context, j Job) string { ran[j.ID]++; return "" },
	})
	c := served.Copy()
	require.NoError(t, s.Accept(t.Context(), Job{ID: "j", DueMilli: time.Now().Add(time.Minute).UnixMilli()}))
	served.Restore(c)
	s.Work(t.Context())
	require.Equal(t, map[string]int{"j": 1}, ran)
}
