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

// TestAcceptedJobsOutliveAReturnOfTheStoreFromACopy guards against the loss of a job that
// was accepted after the backup from which the store is restored.
func TestAcceptedJobsOutliveAReturnOfTheStoreFromACopy(t *testing.T) {
	storeServer := platformtest.NewStore()
	defer storeServer.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ran := map[string]int{}
	s := NewService(Config{
		Holder: "host-0", Store: store.NewKVStore(platform.NewClient(storeServer.Address(), nil)), Now: time.Now, Log: logrus.NewEntry(log),
		Run: func(_ context.Context, j Job) string { ran[j.ID]++; return "" },
	})
	backup := storeServer.Backup()
	require.NoError(t, s.Accept(t.Context(), Job{ID: "j", DueMilli: time.Now().Add(time.Minute).UnixMilli()}))
	storeServer.Restore(backup)
	s.RunDue(t.Context())
	require.Equal(t, map[string]int{"j": 1}, ran)
}
